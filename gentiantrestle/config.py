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
    """A setting that is missing or invalid: name, reason and remedy."""

    name: str
    reason: str
    remedy: str


class SettingValue(NamedTuple):
    """The value of a setting and its source: flag, environment, default."""

    option: Option
    value: Any  # noqa: WPS110 (the field's standard name)
    source: str

    @property
    def display_text(self) -> str:
        """Text to print; the value of a secret is hidden."""
        if self.option.secret and self.value:
            return HIDDEN
        return str(self.value)


class Settings:
    """Valid settings; each option is an attribute of the same name."""

    def __init__(self, setting_values: Sequence[SettingValue]) -> None:
        """Store the setting values, by option name."""
        self.setting_values = tuple(setting_values)
        self._by_name = {
            setting.option.name: setting.value for setting in setting_values
        }

    def __getattr__(self, name: str) -> Any:
        """Return the value of an option."""
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
        """Read and check all options; flags override the environment.

        Return the settings, or the list of all problems found.
        """
        problems: list[SettingProblem] = []
        setting_values = [
            _read_setting(option, given_flags, environ, problems)
            for option in options
        ]
        if problems:
            return problems
        return cls(setting_values)

    @property
    def store_address(self) -> Address:
        """Address of the object store's API."""
        return Address.parse(self.store)

    @property
    def peer_addresses(self) -> tuple[Address, ...]:
        """Addresses of the peers to contact at start."""
        return tuple(
            Address.parse(peer) for peer in self.peers.split(',') if peer
        )


def define_flags(
    flag_values: flags.FlagValues,
    options: Sequence[Option] = OPTIONS,
) -> None:
    """Define a flag for each option; a flag that is not set is ``None``."""
    for option in options:
        flags.DEFINE_string(
            option.name,
            None,
            _help(option),
            flag_values=flag_values,
        )


def _help(option: Option) -> str:
    sentences = [option.help_text]
    if option.unit:
        sentences.append(f'Unit: {option.unit}.')
    if option.choices:
        choices = ', '.join(option.choices)
        sentences.append(f'One of {choices}.')
    if option.required:
        sentences.append('Required.')
    else:
        sentences.append(f'Default: {option.default!r}.')
    sentences.append(f'Environment: {option.env}.')
    return ' '.join(sentences)


def _read_setting(
    option: Option,
    given_flags: Mapping[str, str],
    environ: Mapping[str, str],
    problems: list[SettingProblem],
) -> SettingValue:
    source, raw = _find_text(option, given_flags, environ)
    if raw is None:
        problems.extend(_check_missing(option))
        return SettingValue(option, option.default, source)
    try:
        parsed = _parse(option, raw)
    except ValueError as exc:
        problems.append(_problem(option, source, str(exc)))
        return SettingValue(option, option.default, source)
    problems.extend(
        _problem(option, source, reason)
        for reason in _check_value(option, parsed)
    )
    return SettingValue(option, parsed, source)


def _find_text(
    option: Option,
    given_flags: Mapping[str, str],
    environ: Mapping[str, str],
) -> tuple[str, str | None]:
    """Return the source of a setting and its text, ``None`` if not given."""
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
        f'Set --{option.name} or {option.env}: {option.help_text}',
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


def _check_value(option: Option, parsed: Any) -> Iterator[str]:
    if option.required and not parsed:
        yield 'it is empty'
    if option.low is not None and parsed < option.low:
        yield f'{parsed} is below {option.low} {option.unit}'
    if option.high is not None and parsed > option.high:
        yield f'{parsed} is above {option.high} {option.unit}'
    if option.choices and parsed not in option.choices:
        yield f'{parsed!r} is not one of the choices'
    if option.secret and parsed and len(parsed) != SHA256_HEX_LENGTH:
        yield 'it is not a SHA-256 hash in hex'
    yield from _check_address(option, parsed)


def _check_address(option: Option, parsed: Any) -> Iterator[str]:
    if option.name in IP_FIELDS and not _is_ip(parsed):
        yield f'{parsed!r} is not an IP address'
    if option.name not in ADDRESS_FIELDS:
        return
    for address in parsed.split(','):
        if address and not _is_address(address):
            yield f'{address!r} is not IP:PORT'


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    return _is_ip(host) and port.isdigit()
