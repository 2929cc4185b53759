"""Reads the platform's settings file into typed settings."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from gentiantrestle.models import Address

SETTINGS_VARIABLE = 'GENTIANTRESTLE_SETTINGS'
REMEDY = 'Have the platform write the settings file anew'


class SettingsError(Exception):
    """The settings file can't be used; the message names the field."""


class NodeSettings(NamedTuple):
    """What one process is told about itself; times are in s."""

    instance: str
    zone: str
    regions: dict[str, str]
    host: str
    callers: Address | None
    readiness: Address | None
    peer_port: int
    seeds: tuple[str, ...]
    store: Address
    grace: float
    retires_storage: bool

    @classmethod
    def from_file(cls, path: str) -> 'NodeSettings':
        """Read and check the file; raise ``SettingsError``."""
        try:
            told = tomllib.loads(Path(path).read_text())
        except (OSError, ValueError) as exc:
            raise SettingsError(f'{path}: {exc}. {REMEDY}.') from exc
        return cls.from_config(told)

    @classmethod
    def from_config(cls, told: Mapping[str, Any]) -> 'NodeSettings':
        """Check the fields that are used; others are ignored."""
        try:
            return cls._read(told)
        except (LookupError, TypeError, ValueError) as exc:
            raise SettingsError(f'Field {exc!s} is unfit. {REMEDY}.') from exc

    @classmethod
    def _read(cls, told: Mapping[str, Any]) -> 'NodeSettings':
        listen = told.get('listen', {})
        return cls(
            instance=told['node-name'],
            zone=told['zone'],
            regions=dict(told['zones']),
            host=told['ip'],
            callers=_address(listen.get('front')),
            readiness=_address(listen.get('ready-addr')),
            peer_port=int(told['internal-ports'][0]),
            seeds=tuple(
                Address.parse(seed).host for seed in told.get('seeds', ())
            ),
            store=Address.parse(told['platform']['address']),
            grace=float(told['bounds']['grace-s']),
            retires_storage='edge' in told['serves'],
        )


def _address(text: str | None) -> Address | None:
    return Address.parse(text) if text else None
