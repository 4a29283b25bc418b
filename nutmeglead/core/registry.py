"""Register variants of a behaviour under the names that settings use."""

from collections.abc import Callable
from typing import Generic, TypeVar

from nutmeglead.core.errors import UnknownVariantError

__all__ = ["Registry"]

T = TypeVar("T")


class Registry(Generic[T]):
    """Map names to variants; a decorator adds an entry."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._variants: dict[str, T] = {}

    def register(self, variant_name: str) -> Callable[[T], T]:
        """Return a decorator that enters its target under a name."""

        def enter(variant: T) -> T:
            if variant_name in self._variants:
                raise ValueError(f"{self.name}: variant {variant_name!r} is registered twice")
            self._variants[variant_name] = variant
            return variant

        return enter

    def get(self, variant_name: str) -> T:
        """Return the variant, or raise UnknownVariantError."""
        try:
            return self._variants[variant_name]
        except KeyError:
            raise UnknownVariantError(self.name, variant_name, self.names()) from None

    def names(self) -> tuple[str, ...]:
        """List the registered names in order."""
        return tuple(sorted(self._variants))
