"""Registries of named variants, such as checks, that a caller looks up by name."""

from collections.abc import Callable
from typing import Generic, TypeVar

from nutmeglead.core.errors import UnknownVariantError

__all__ = ["Registry"]

T = TypeVar("T")


class Registry(Generic[T]):
    """Variants by name; the decorator that `register` returns adds one."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._variants: dict[str, T] = {}

    def register(self, variant_name: str) -> Callable[[T], T]:
        """Return a decorator that adds its target under a name and leaves it unchanged.

        The decorator raises ValueError if the name is taken.
        """

        def add_variant(variant: T) -> T:
            if variant_name in self._variants:
                raise ValueError(f"{self.name}: variant {variant_name!r} is registered twice")
            self._variants[variant_name] = variant
            return variant

        return add_variant

    def get(self, variant_name: str) -> T:
        """Return the variant of a name; raise UnknownVariantError if the registry has none."""
        try:
            return self._variants[variant_name]
        except KeyError:
            raise UnknownVariantError(self.name, variant_name, self.names()) from None

    def names(self) -> tuple[str, ...]:
        """Return the registered names in alphabetical order."""
        return tuple(sorted(self._variants))
