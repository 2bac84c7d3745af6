"""behave hooks: disables the logs of the code under test."""

import logging


def before_all(context):
    logging.disable(logging.CRITICAL)
