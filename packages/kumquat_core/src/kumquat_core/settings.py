"""Settings of an entry host: a JSON file that is validated into ``Options``.

All errors are reported at once, each with path, value and expected form.
Secrets are read from files that the settings refer to and are never logged.
"""

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .intake.intake_limits import IntakeLimits
from .result_codes import ResultCode, RouterError

__all__ = ["Address", "Options", "SettingsModel", "load_options", "settings_errors"]

Port = Annotated[int, Field(ge=0, le=65535)]
Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[\w-]+$")]
Url = Annotated[str, Field(pattern=r"^https?://[^/]+")]
Seconds = Annotated[float, Field(gt=0)]


class StrictModel(BaseModel):
    """Base class of the settings models; rejects unknown fields."""

    model_config = ConfigDict(extra="forbid")


class AddressModel(StrictModel):
    """An IP number and a port."""

    ip: Annotated[str, Field(pattern=r"^[0-9a-fA-F.:]+$")] = "127.0.0.1"
    port: Port


class PlatformModel(StrictModel):
    """Base URLs of the platform's services."""

    table_service_url: Url
    object_store_url: Url
    host_list_url: Url
    weight_store_url: Url


class LimitsModel(StrictModel):
    """Limits that protect the host."""

    max_body_bytes: Annotated[int, Field(gt=0)] = 1_000_000
    max_header_bytes: Annotated[int, Field(gt=0)] = 16_384
    body_timeout_s: Seconds = 10.0
    max_streams: Annotated[int, Field(gt=0)] = 4000
    stream_buffer_bytes: Annotated[int, Field(gt=0)] = 65536
    drain_notice_s: Annotated[float, Field(ge=0)] = 2.0
    drain_limit_s: Seconds = 300.0
    memory_mb: Annotated[float, Field(gt=0)] | None = None
    max_descriptors: Annotated[int, Field(gt=0)] | None = None


class TimingModel(StrictModel):
    """Periods and timeouts in seconds."""

    ticket_poll_s: Seconds = 3.0
    host_list_poll_s: Seconds = 2.0
    report_poll_s: Seconds = 0.5
    max_reports_per_s: Annotated[float, Field(gt=0)] = 12.0
    ping_period_s: Seconds = 0.5
    ping_timeout_s: Seconds = 0.4
    suspicion_s: Seconds = 1.5
    store_timeout_s: Seconds = 1.0
    engine_connect_timeout_s: Seconds = 1.0
    stream_idle_timeout_s: Seconds = 5.0
    intent_lease_s: Seconds = 5.0


class SettingsModel(StrictModel):
    """The settings file of an entry host."""

    host_id: Name
    region: Name
    failure_domain: Name
    caller_listen: AddressModel
    admin_listen: AddressModel
    peer_listen: AddressModel
    platform: PlatformModel
    peer_key_file: Path
    policy: Literal["kumquat", "round_robin", "least_reported_load", "two_choices"] = (
        "kumquat"
    )
    disabled_rules: tuple[Name, ...] = ()
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    seed: int = 0
    limits: LimitsModel = Field(default_factory=LimitsModel)
    timing: TimingModel = Field(default_factory=TimingModel)


@dataclass(frozen=True)
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    @property
    def text(self) -> str:
        """Return ``IP:PORT``."""
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True)
class Limits:
    """Limits that protect the host; sizes in bytes, times in seconds."""

    max_body_bytes: int
    max_header_bytes: int
    body_timeout_s: float
    max_streams: int
    stream_buffer_bytes: int
    drain_notice_s: float
    drain_limit_s: float
    intake: IntakeLimits

    @classmethod
    def from_settings(cls, model: LimitsModel) -> "Limits":
        """Return the limits of validated settings."""
        values = model.model_dump(exclude={"memory_mb", "max_descriptors"})
        intake = IntakeLimits.from_config(model.memory_mb, model.max_descriptors)
        return cls(**values, intake=intake)


@dataclass(frozen=True)
class Timing:
    """Periods and timeouts in seconds."""

    ticket_poll_s: float
    host_list_poll_s: float
    report_poll_s: float
    max_reports_per_s: float
    ping_period_s: float
    ping_timeout_s: float
    suspicion_s: float
    store_timeout_s: float
    engine_connect_timeout_s: float
    stream_idle_timeout_s: float
    intent_lease_s: float


@dataclass(frozen=True)
class Options:
    """All options of an entry host process."""

    host_id: str
    region: str
    failure_domain: str
    caller_listen: Address
    admin_listen: Address
    peer_listen: Address
    table_service_url: str
    object_store_url: str
    host_list_url: str
    weight_store_url: str
    peer_key: bytes = field(repr=False)
    policy: str
    disabled_rules: tuple[str, ...]
    log_level: str
    seed: int
    limits: Limits
    timing: Timing

    @classmethod
    def from_settings(cls, model: SettingsModel, peer_key: bytes) -> "Options":
        """Return the options of validated settings and the shared key."""
        return cls(
            host_id=model.host_id,
            region=model.region,
            failure_domain=model.failure_domain,
            caller_listen=Address(**model.caller_listen.model_dump()),
            admin_listen=Address(**model.admin_listen.model_dump()),
            peer_listen=Address(**model.peer_listen.model_dump()),
            table_service_url=model.platform.table_service_url,
            object_store_url=model.platform.object_store_url,
            host_list_url=model.platform.host_list_url,
            weight_store_url=model.platform.weight_store_url,
            peer_key=peer_key,
            policy=model.policy,
            disabled_rules=model.disabled_rules,
            log_level=model.log_level,
            seed=model.seed,
            limits=Limits.from_settings(model.limits),
            timing=Timing(**model.timing.model_dump()),
        )


def settings_errors(error: ValidationError) -> list[str]:
    """Return one line for each error: path, value and expected form."""
    lines = []
    for item in error.errors(include_url=False):
        path = ".".join(str(part) for part in item["loc"]) or "(file)"
        lines.append(f"{path}: {item['msg']} (got {_shorten(item['input'])})")
    return lines


def _shorten(value: Any) -> str:
    """Return a value as JSON, truncated to 80 characters."""
    text = json.dumps(value, default=str)
    return text if len(text) <= 80 else text[:77] + "..."


def load_options(path: Path) -> Options:
    """Read and validate a settings file and return its options.

    A relative ``peer_key_file`` is relative to the folder of the settings
    file.
    Raises ``RouterError`` with ``SETTINGS_INVALID`` and all errors at once.
    """
    try:
        model = SettingsModel.model_validate_json(path.read_text())
    except OSError as error:
        raise RouterError(ResultCode.SETTINGS_INVALID, str(error)) from error
    except ValidationError as error:
        detail = "\n".join(settings_errors(error))
        raise RouterError(ResultCode.SETTINGS_INVALID, detail) from error
    key_path = path.parent / model.peer_key_file
    try:
        peer_key = key_path.read_bytes().strip()
    except OSError as error:
        detail = f"peer_key_file: {error}"
        raise RouterError(ResultCode.SETTINGS_INVALID, detail) from error
    return Options.from_settings(model, peer_key)
