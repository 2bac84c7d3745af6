"""Runs the operator tool by ``python -m kumquatctl``."""

from .main import app

if __name__ == "__main__":
    app(prog_name="kumquatctl")
