"""Register benchmarks by name."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from benchmarks.report import Report
from nutmeglead.core.registry import Registry

__all__ = ["BENCHMARKS", "Benchmark", "Options"]


@dataclass(frozen=True)
class Options:
    """Hold what every benchmark is given; `quick` asks for a short run whose figures are trials."""

    seed: int
    quick: bool


Benchmark: TypeAlias = Callable[[Options], Report]

BENCHMARKS: Registry[Benchmark] = Registry("benchmark")
