"""List every setting as docs/operators/settings.md does."""

from thrift.Thrift import TType

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.settings.ranges import RANGES
from nutmeglead.settings.structs import join_path, required_fields

__all__ = ["rows"]


def rows(struct_type=Settings, path=""):
    """Yield path, default and permitted range of each setting that is no object itself."""
    for spec in filter(None, struct_type.thrift_spec):
        inner, name = _inner_struct(spec), join_path(path, spec[2])
        if inner is not None:
            below = f"{name}[]" if spec[1] == TType.LIST else name
            nested = path == "services[]"
            yield from rows(inner, spec[2] if nested else below)
            continue
        required = spec[2] in required_fields(struct_type)
        default = "required" if required else _text(spec[4])
        limits = RANGES.get(struct_type, {}).get(spec[2], "-")
        yield name, default, str(limits)


def _inner_struct(spec):
    if spec[1] == TType.LIST:
        return spec[3][1][0]
    if spec[1] == TType.STRUCT and spec[3][0] is not Address:
        return spec[3][0]
    return None


def _text(default):
    return str(default).lower() if isinstance(default, bool) else str(default)
