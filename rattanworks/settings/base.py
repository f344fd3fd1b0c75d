"""Typed options that validate themselves and report every fault at once."""

import abc
import re
import tomllib
from pathlib import Path

from rattanworks.exceptions import InvalidInputError, InvalidInputGroup
from rattanworks.utils.sockets import MAX_PORT

MAX_FILE_BYTES = 1024 * 1024

REQUIRED = object()


class Faults:
    """Collects the faults of one file and raises them as one group."""

    def __init__(self, file):
        self.file = str(file)
        self._faults = []

    def add(self, key, expected, found, remedy):
        """Record one fault."""
        self._faults.append(InvalidInputError(self.file, key, expected, found, remedy))

    def __len__(self):
        return len(self._faults)

    def extend(self, group):
        """Record the faults of another group."""
        self._faults.extend(group.exceptions)

    def raise_if_any(self):
        """Raise InvalidInputGroup when any fault was recorded."""
        if self._faults:
            raise InvalidInputGroup("invalid input", self._faults)


class Option(abc.ABC):
    """One option: its default, what it expects, and how it is checked."""

    expected = "a value"

    def __init__(self, default=REQUIRED):
        self.default = default

    @property
    def is_required(self):
        """Return whether the option has no default."""
        return self.default is REQUIRED

    @abc.abstractmethod
    def validate(self, value, key, faults):
        """Return the checked value, or record a fault and return None."""

    def _reject(self, value, key, faults):
        faults.add(key, self.expected, _describe(value), "correct the value")


class Text(Option):
    """Text of limited length, optionally matching a pattern."""

    def __init__(self, default=REQUIRED, pattern=None, expected="text", max_length=200):
        super().__init__(default)
        self.expected = expected
        self._pattern = re.compile(pattern) if pattern else None
        self._max_length = max_length

    def validate(self, value, key, faults):
        """Return the text."""
        is_valid = isinstance(value, str) and len(value) <= self._max_length
        if is_valid and self._pattern:
            is_valid = bool(self._pattern.fullmatch(value))
        if not is_valid:
            return self._reject(value, key, faults)
        return value


def name_option(default=REQUIRED):
    """Return an option for names of hosts, services, plans and customers."""
    return Text(
        default,
        pattern=r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}",
        expected="a name of letters, digits, '.', '_' and '-'",
    )


class Address(Text):
    """A HOST:PORT pair; port 0 is for any free one."""

    def __init__(self, default=REQUIRED):
        super().__init__(
            default, pattern=r"[0-9A-Za-z.:\[\]-]+:[0-9]{1,5}", expected="HOST:PORT"
        )

    def validate(self, value, key, faults):
        """Return the address."""
        address = super().validate(value, key, faults)
        if address is not None and int(address.rpartition(":")[2]) > MAX_PORT:
            return self._reject(value, key, faults)
        return address


class Number(Option):
    """A number within bounds; whole numbers only when ``whole`` is set."""

    def __init__(self, default=REQUIRED, minimum=0, maximum=1e12, whole=False):
        super().__init__(default)
        self._minimum = minimum
        self._maximum = maximum
        self._types = int if whole else (int, float)
        description = "a whole number" if whole else "a number"
        self.expected = f"{description} from {minimum:g} to {maximum:g}"

    def validate(self, value, key, faults):
        """Return the number."""
        is_number = isinstance(value, self._types) and not isinstance(value, bool)
        if not is_number or not self._minimum <= value <= self._maximum:
            return self._reject(value, key, faults)
        return value

    def clamp(self, number):
        """Return the allowed number that is nearest to ``number``."""
        return min(max(number, self._minimum), self._maximum)


class Boolean(Option):
    """True or false."""

    expected = "true or false"

    def validate(self, value, key, faults):
        """Return the boolean."""
        if not isinstance(value, bool):
            return self._reject(value, key, faults)
        return value


class Choice(Option):
    """One of the values of an enumeration."""

    def __init__(self, enumeration, default=REQUIRED):
        super().__init__(default)
        self._enumeration = enumeration
        self.expected = f"one of: {', '.join(enumeration)}"

    def validate(self, value, key, faults):
        """Return the member of the enumeration."""
        if value not in list(self._enumeration):
            return self._reject(value, key, faults)
        return self._enumeration(value)


class ListOf(Option):
    """A list whose members are checked by one option; it is read as a tuple."""

    def __init__(self, member, default=REQUIRED):
        super().__init__(default)
        self._member = member
        self.expected = f"a list of: {member.expected}"

    def validate(self, value, key, faults):
        """Return the members as a tuple."""
        if not isinstance(value, list):
            return self._reject(value, key, faults)
        members = [
            self._member.validate(member, f"{key}[{index}]", faults)
            for index, member in enumerate(value)
        ]
        if len(set(map(repr, members))) != len(members):
            faults.add(key, "distinct members", "a duplicate", "remove the duplicate")
        return tuple(members)


class Table(Option):
    """A table with known keys, whose checked values are passed to ``factory``."""

    expected = "a table"

    def __init__(self, options, factory=dict, default=REQUIRED):
        super().__init__(default)
        self.options = options
        self._factory = factory

    def validate(self, value, key, faults):
        """Return what the factory builds of the checked values."""
        if not isinstance(value, dict):
            return self._reject(value, key, faults)
        prefix = f"{key}." if key else ""
        for name in value.keys() - self.options.keys():
            known = ", ".join(sorted(self.options))
            faults.add(
                f"{prefix}{name}", f"one of: {known}", "an unknown key", "remove it"
            )
        faults_before = len(faults)
        checked = {
            name: self._validate_member(value, name, f"{prefix}{name}", faults)
            for name in self.options
        }
        return self._factory(**checked) if len(faults) == faults_before else None

    def _validate_member(self, value, name, key, faults):
        option = self.options[name]
        if name in value:
            return option.validate(value[name], key, faults)
        if option.is_required:
            faults.add(key, option.expected, "nothing", "add the key")
            return None
        return option.default


class MapOf(Option):
    """A table with arbitrary names as keys, whose members are checked by one option."""

    expected = "a table"

    def __init__(self, member, default=REQUIRED):
        super().__init__(default)
        self._member = member
        self._key_option = name_option()

    def validate(self, value, key, faults):
        """Return the members by their keys."""
        if not isinstance(value, dict):
            return self._reject(value, key, faults)
        for name in value:
            self._key_option.validate(name, f"{key}: key", faults)
        return {
            name: self._member.validate(member, f"{key}.{name}", faults)
            for name, member in value.items()
        }


def _describe(value):
    try:
        text = repr(value)
    except ValueError:
        # Python limits the decimal digits of integers, not the hexadecimal ones.
        return "a number of too many digits"
    return text if len(text) <= 60 else f"{text[:57]}..."


def read_toml(path, faults):
    """Return the parsed TOML file, or record a fault and return None."""
    content = _read_bytes(path, faults)
    if content is None:
        return None
    return parse_toml(content, faults)


def _read_bytes(path, faults):
    try:
        size = Path(path).stat().st_size
        content = b"" if size > MAX_FILE_BYTES else Path(path).read_bytes()
    except OSError as error:
        faults.add("", "a readable file", error.strerror, "check the path")
        return None
    if size > MAX_FILE_BYTES:
        faults.add("", f"at most {MAX_FILE_BYTES} bytes", f"{size}", "split or trim it")
        return None
    return content


def parse_toml(content, faults):
    """Return parsed TOML bytes, or record a fault and return None."""
    if not content.strip():
        faults.add("", "TOML tables", "an empty file", "write the tables it needs")
        return None
    try:
        return tomllib.loads(content.decode("utf-8"))
    except UnicodeDecodeError as error:
        faults.add(
            "", "UTF-8 text", f"byte {error.start} is not UTF-8", "save it as UTF-8"
        )
    except tomllib.TOMLDecodeError as error:
        faults.add("", "valid TOML without duplicates", str(error), "correct the line")
    except (RecursionError, ValueError) as error:
        # tomllib lets these through for deep nesting and numbers of many digits.
        faults.add("", "TOML that can be read", str(error), "correct the value")
    return None


def load_settings(path, schema):
    """Read and check a settings file; raise InvalidInputGroup with all faults."""
    faults = Faults(path)
    content = read_toml(path, faults)
    settings = None
    if content is not None:
        settings = schema.validate(content, "", faults)
    faults.raise_if_any()
    return settings
