"""Loads the settings of a relay host from a JSON file into ``RelayOptions``.

All errors are reported together, each with its path. Unknown fields are
ignored, because the platform may add some.
"""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from kumquat_core.intake.intake_limits import IntakeLimits
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.settings import Address, settings_errors

from .accounts.quota_bound import QuotaBound
from .balance.fleet_size import EvenLoadMode
from .cluster_state import DEFAULT_NOTICE_S
from .host_retry_budget import RetryBudgetSettings
from .relay_rules import ALL_RULES, RelayRules

__all__ = ["RelayOptions", "load_relay_options", "parse_address"]

# Link bandwidth from which a host has its full strength. An owner that serves
# eighty hosts receives and sends about 1 Mbit/s; with less than ten times that
# bandwidth its replies are delayed.
REFERENCE_LINK_MBPS = 10.0

PositiveSeconds = Annotated[float, Field(gt=0)]
AddressText = Annotated[str, Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Port = Annotated[int, Field(ge=1, le=65535)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _ListenModel(_Model):
    callers: AddressText
    readiness: AddressText
    metrics: AddressText
    peer_port: Port


class _RetryModel(_Model):
    ratio: Annotated[float, Field(ge=0)]
    window_s: PositiveSeconds
    allowance: Annotated[float, Field(ge=0)]


class _ProcessorModel(_Model):
    share: Annotated[float, Field(gt=0)] = 1.0
    speed: Annotated[float, Field(gt=0)] = 1.0
    link_mbps: Annotated[float, Field(gt=0)] = REFERENCE_LINK_MBPS


class _QuotaModel(_Model):
    window_s: PositiveSeconds
    overrun_ratio: Annotated[float, Field(ge=0)] = 0.0
    allowance: Annotated[float, Field(ge=0)] = 0.0


class RelaySettingsModel(_Model):
    """The settings file of a relay host; times in seconds."""

    host_id: Annotated[str, Field(min_length=1)]
    failure_domain: Annotated[str, Field(min_length=1)]
    listen: _ListenModel
    store: AddressText
    retries: _RetryModel
    stop_grace_s: PositiveSeconds
    order_lease_s: PositiveSeconds
    notice_s: PositiveSeconds = DEFAULT_NOTICE_S
    processor: _ProcessorModel = Field(default_factory=lambda: _ProcessorModel())
    quota: _QuotaModel | None = None
    log_level: str = "info"
    memory_mb: Annotated[float, Field(gt=0)] | None = None
    max_descriptors: Annotated[int, Field(gt=0)] | None = None
    seed: int = 0
    disabled_rules: tuple[str, ...] = ()
    even_load: EvenLoadMode = EvenLoadMode.AUTO
    overload_control: bool = False

    @field_validator("disabled_rules")
    @classmethod
    def _reject_unknown_rules(cls, names: tuple[str, ...]) -> tuple[str, ...]:
        RelayRules.without(names)
        return names


@dataclass(frozen=True)
class RelayOptions:
    """All options of a relay host.

    ``strength`` is the relative capacity of the host's processor and link.
    ``notice_s`` is the time in which a host must detect that a connection has
    become unresponsive. ``quota`` bounds what may run beyond quotas.
    ``even_load`` states where hosts share their view of plain servers, and
    ``overload_control`` whether they limit what they send to overloaded ones.
    """

    host_id: str
    failure_domain: str
    callers: Address
    readiness: Address
    metrics: Address
    peers: Address
    store: Address
    retries: RetryBudgetSettings
    stop_grace_s: float
    order_lease_s: float
    log_level: str
    seed: int
    strength: float = 1.0
    notice_s: float = DEFAULT_NOTICE_S
    rules: RelayRules = ALL_RULES
    quota: QuotaBound | None = None
    intake: IntakeLimits = field(default_factory=IntakeLimits.from_config)
    even_load: EvenLoadMode = EvenLoadMode.AUTO
    overload_control: bool = False

    @classmethod
    def from_settings(cls, model: RelaySettingsModel) -> "RelayOptions":
        """Return the options that validated settings specify."""
        callers = parse_address(model.listen.callers)
        return cls(
            host_id=model.host_id,
            failure_domain=model.failure_domain,
            callers=callers,
            readiness=parse_address(model.listen.readiness),
            metrics=parse_address(model.listen.metrics),
            peers=Address(callers.ip, model.listen.peer_port),
            store=parse_address(model.store),
            retries=RetryBudgetSettings(
                model.retries.ratio, model.retries.window_s, model.retries.allowance
            ),
            stop_grace_s=model.stop_grace_s,
            order_lease_s=model.order_lease_s,
            log_level=model.log_level,
            seed=model.seed,
            strength=_compute_strength(model.processor),
            notice_s=model.notice_s,
            rules=RelayRules.without(model.disabled_rules),
            quota=_quota_bound(model.quota),
            intake=IntakeLimits.from_config(model.memory_mb, model.max_descriptors),
            even_load=model.even_load,
            overload_control=model.overload_control,
        )


def _quota_bound(model: _QuotaModel | None) -> QuotaBound | None:
    if model is None:
        return None
    return QuotaBound(model.window_s, model.overrun_ratio, model.allowance)


def _compute_strength(processor: _ProcessorModel) -> float:
    """Return the relative capacity; a narrow link reduces it."""
    link_factor = min(1.0, processor.link_mbps / REFERENCE_LINK_MBPS)
    return processor.share * processor.speed * link_factor


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; raises ``ValueError`` if the port is not a number."""
    ip, _, port = text.rpartition(":")
    return Address(ip, int(port))


def load_relay_options(path: Path) -> RelayOptions:
    """Read and validate a settings file and return its options.

    Raises ``RouterError`` with ``SETTINGS_INVALID`` and the list of all errors
    if the file cannot be read or is invalid.
    """
    try:
        model = RelaySettingsModel.model_validate_json(path.read_text())
    except OSError as error:
        raise RouterError(ResultCode.SETTINGS_INVALID, str(error)) from error
    except ValidationError as error:
        detail = "\n".join(settings_errors(error))
        raise RouterError(ResultCode.SETTINGS_INVALID, detail) from error
    return RelayOptions.from_settings(model)
