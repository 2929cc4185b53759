"""Reads and checks the settings file that the platform writes."""

import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from gentiantrestle.gateway.accounts.model import AllowanceTerms
from gentiantrestle.models import Address

SETTINGS_VARIABLE = 'GENTIANTRESTLE_SETTINGS'
REMEDY = 'Have the platform write the settings file again'
MS = 0.001  # seconds
DEFAULT_OBJECT_SIZE = 1048576  # bytes
BYTES_PER_MB = 1000000
# The part of the rules in which callers and servers may read slowly.
MEMORY_CONTRACT = 'pressure'


class SettingsError(Exception):
    """The settings file is unusable; the message names the file or field."""


class NodeSettings(NamedTuple):
    """Settings of one process from the platform; times are in s.

    ``drain_time`` is how long a leaving server serves, 0 if it isn't set.
    ``max_object_size`` is what the store takes as one object, in bytes.
    ``passing_port`` is for callers' requests that other instances pass on;
    None if the platform gives no port for it. ``revocation_time`` is 0 where
    instances out of touch may go on with the keys that they know, and
    ``memory`` in bytes is 0 where no bound is asked for.
    """

    instance: str
    zone: str
    regions: dict[str, str]
    host: str
    caller_address: Address | None
    readiness_address: Address | None
    peer_port: int
    passing_port: int | None
    seeds: tuple[str, ...]
    store_address: Address
    max_object_size: int
    grace: float
    drain_time: float
    retires_storage: bool
    revocation_time: float
    allowance_terms: AllowanceTerms
    memory: int

    @classmethod
    def from_file(cls, path: str) -> 'NodeSettings':
        """Read and check a TOML file; raise ``SettingsError``."""
        try:
            config = tomllib.loads(Path(path).read_text())
        except (OSError, ValueError) as exc:
            raise SettingsError(f'{path}: {exc}. {REMEDY}.') from exc
        return cls.from_config(config)

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> 'NodeSettings':
        """Check the fields in use, ignore others; raise ``SettingsError``."""
        try:
            return cls._read(config)
        except (LookupError, TypeError, ValueError) as exc:
            raise SettingsError(
                f'Missing or invalid setting: {exc!s}. {REMEDY}.'
            ) from exc

    @classmethod
    def _read(cls, config: Mapping[str, Any]) -> 'NodeSettings':
        listen = config.get('listen', {})
        bounds = config['bounds']
        return cls(
            instance=config['node-name'],
            zone=config['zone'],
            regions=dict(config['zones']),
            host=config['ip'],
            caller_address=_address(listen.get('front')),
            readiness_address=_address(listen.get('ready-addr')),
            peer_port=int(config['internal-ports'][0]),
            passing_port=_second_port(config['internal-ports']),
            seeds=tuple(
                Address.parse(seed).host for seed in config.get('seeds', ())
            ),
            store_address=Address.parse(config['platform']['address']),
            max_object_size=int(
                config['platform'].get('value-bytes', DEFAULT_OBJECT_SIZE)
            ),
            grace=float(bounds['grace-s']),
            drain_time=float(bounds.get('drain-ms', 0)) * MS,
            retires_storage='edge' in config['serves'],
            revocation_time=_revocation_time(bounds),
            allowance_terms=_allowance_terms(bounds),
            memory=_memory(config),
        )


def _revocation_time(bounds: Mapping[str, Any]) -> float:
    if not bounds.get('strict-revoke'):
        return 0
    return float(bounds['revoke-ms']) * MS


def _allowance_terms(bounds: Mapping[str, Any]) -> AllowanceTerms:
    default = AllowanceTerms()
    return AllowanceTerms(
        float(bounds.get('quota-window-s', default.window)),
        float(bounds.get('quota-overshoot', default.overshoot)),
        int(bounds.get('quota-slack', default.slack)),
    )


def _memory(config: Mapping[str, Any]) -> int:
    """Return the bytes that the process may use; 0 if none are set."""
    if MEMORY_CONTRACT not in config.get('contracts', ()):
        return 0
    return int(config['limits']['memory-mb']) * BYTES_PER_MB


def _second_port(ports: Sequence[int]) -> int | None:
    """Return the second port of a range, given as its first and last one."""
    first, last = map(int, ports)
    return first + 1 if last > first else None


def _address(text: str | None) -> Address | None:
    return Address.parse(text) if text else None
