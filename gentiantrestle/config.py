"""Read the daemon's settings from flags and environment variables."""

import ipaddress
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from absl import flags

from gentiantrestle.models import Address
from gentiantrestle.options import OPTIONS, Option

TRUE_WORDS = frozenset(('1', 'true', 'yes', 'on'))
FALSE_WORDS = frozenset(('0', 'false', 'no', 'off', ''))
HIDDEN = '(hidden)'
IP_FIELDS = frozenset(('host',))
ADDRESS_FIELDS = frozenset(('store', 'peers'))
SHA256_HEX_LENGTH = 64


class SettingProblem(NamedTuple):
    """One wrong setting: where it stands, what is wrong, what helps."""

    name: str
    reason: str
    remedy: str


class SettingValue(NamedTuple):
    """A setting in force and the place it came from."""

    option: Option
    value: Any  # noqa: WPS110 (the field's standard name)
    source: str

    @property
    def display_text(self) -> str:
        """Give the text to print; secrets stay hidden."""
        if self.option.secret and self.value:
            return HIDDEN
        return str(self.value)


class Settings:
    """Checked settings; each option is an attribute."""

    def __init__(self, chosen: Sequence[SettingValue]) -> None:
        """Keep what was chosen, by option name."""
        self.setting_values = tuple(chosen)
        self._by_name = {one.option.name: one.value for one in chosen}

    def __getattr__(self, name: str) -> Any:
        """Look an option up by its name."""
        try:
            return self.__dict__['_by_name'][name]
        except KeyError:
            raise AttributeError(name) from None

    @classmethod
    def from_sources(
        cls,
        given_flags: Mapping[str, str],
        environ: Mapping[str, str],
        options: Sequence[Option] = OPTIONS,
    ) -> 'Settings | list[SettingProblem]':
        """Read and check all options; return every problem at once."""
        problems: list[SettingProblem] = []
        chosen = [
            _choose(option, given_flags, environ, problems)
            for option in options
        ]
        if problems:
            return problems
        return cls(chosen)

    @property
    def store_address(self) -> Address:
        """Address of the object API."""
        return Address.parse(self.store)

    @property
    def peer_addresses(self) -> tuple[Address, ...]:
        """Addresses of the peers to greet at start."""
        return tuple(
            Address.parse(part) for part in self.peers.split(',') if part
        )


def define_flags(
    flag_values: flags.FlagValues,
    options: Sequence[Option] = OPTIONS,
) -> None:
    """Define one flag for each option; an unset flag is ``None``."""
    for option in options:
        flags.DEFINE_string(
            option.name,
            None,
            _help(option),
            flag_values=flag_values,
        )


def _help(option: Option) -> str:
    parts = [option.text]
    if option.unit:
        parts.append(f'Unit: {option.unit}.')
    if option.choices:
        choices = ', '.join(option.choices)
        parts.append(f'One of {choices}.')
    if option.required:
        parts.append('Required.')
    else:
        parts.append(f'Default: {option.default!r}.')
    parts.append(f'Environment: {option.env}.')
    return ' '.join(parts)


def _choose(
    option: Option,
    given_flags: Mapping[str, str],
    environ: Mapping[str, str],
    problems: list[SettingProblem],
) -> SettingValue:
    source, raw = _find_raw(option, given_flags, environ)
    if raw is None:
        problems.extend(_check_missing(option))
        return SettingValue(option, option.default, source)
    try:
        parsed = _parse(option, raw)
    except ValueError as exc:
        problems.append(_problem(option, source, str(exc)))
        return SettingValue(option, option.default, source)
    problems.extend(
        _problem(option, source, reason) for reason in _faults(option, parsed)
    )
    return SettingValue(option, parsed, source)


def _find_raw(
    option: Option,
    given_flags: Mapping[str, str],
    environ: Mapping[str, str],
) -> tuple[str, str | None]:
    """Return where a setting comes from, and its text; flags go first."""
    raw = given_flags.get(option.name)
    if raw is not None:
        return f'flag --{option.name}', raw
    raw = environ.get(option.env)
    if raw is not None:
        return f'environment {option.env}', raw
    return 'default', None


def _check_missing(option: Option) -> Iterator[SettingProblem]:
    if option.required:
        yield _problem(option, 'no source', 'it has no value')


def _problem(option: Option, source: str, reason: str) -> SettingProblem:
    return SettingProblem(
        option.name,
        f'{option.name} from {source}: {reason}',
        f'Set --{option.name} or {option.env}: {option.text}',
    )


def _parse(option: Option, raw: str) -> Any:
    if isinstance(option.default, bool):
        return _parse_bool(raw)
    if isinstance(option.default, int):
        return int(raw)
    if isinstance(option.default, float):
        return float(raw)
    return raw.strip()


def _parse_bool(raw: str) -> bool:
    word = raw.strip().lower()
    if word in TRUE_WORDS:
        return True
    if word in FALSE_WORDS:
        return False
    raise ValueError(f'{raw!r} is neither true nor false')


def _faults(option: Option, parsed: Any) -> Iterator[str]:
    if option.required and not parsed:
        yield 'it is empty'
    if option.low is not None and parsed < option.low:
        yield f'{parsed} is below {option.low} {option.unit}'
    if option.high is not None and parsed > option.high:
        yield f'{parsed} is above {option.high} {option.unit}'
    if option.choices and parsed not in option.choices:
        yield f'{parsed!r} is not a choice'
    if option.secret and parsed and len(parsed) != SHA256_HEX_LENGTH:
        yield 'it is not a SHA-256 in hex'
    yield from _address_faults(option, parsed)


def _address_faults(option: Option, parsed: Any) -> Iterator[str]:
    if option.name in IP_FIELDS and not _is_ip(parsed):
        yield f'{parsed!r} is not an IP number'
    if option.name not in ADDRESS_FIELDS:
        return
    for part in parsed.split(','):
        if part and not _is_address(part):
            yield f'{part!r} is not IP:PORT'


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    return _is_ip(host) and port.isdigit()
