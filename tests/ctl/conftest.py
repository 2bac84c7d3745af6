import json

import pytest
from ctl_fakes import SETTINGS, FakePlatform


@pytest.fixture
def platform(tmp_path):
    path = tmp_path / "kumquatctl.json"
    path.write_text(json.dumps(SETTINGS))
    return FakePlatform(path)
