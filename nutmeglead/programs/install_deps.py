"""Install the entry program's dependencies into a folder, completely or not at all.

The platform's build runs this module before there are any dependencies, so it uses the standard
library only. A folder that is there already is used only if it holds every file of every required
package and can be imported by this Python on this processor: an install that was interrupted and a
folder that was carried over from another machine leave one that is not.
"""

import argparse
import os
import platform
import shutil
import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from importlib import metadata
from pathlib import Path

__all__ = ["Dependencies", "InstallFailed", "install", "main"]

# Modules that the entry program imports, at its start or later; two of them are compiled.
MODULES = ("h11", "prometheus_client", "result", "thrift.protocol.fastbinary", "zstandard")
IMPORT_TIMEOUT_S = 60

Installer = Callable[[Path, Path], None]


class InstallFailed(Exception):
    """The dependencies could not be installed, or cannot be used after the installation."""


@dataclass(frozen=True)
class Dependencies:
    """Name the requirements file, the folder to install into, and the modules to import from it."""

    requirements: Path
    folder: Path
    modules: tuple[str, ...] = MODULES

    def required(self) -> dict[str, str]:
        """Return the version of each required package by its name."""
        lines = [line.partition("#")[0].strip() for line in self.requirements.open()]
        return dict(line.split("==", 1) for line in lines if line)


def install(dependencies: Dependencies, run_installer: Installer) -> bool:
    """Make the folder hold the dependencies; return whether it had to be installed.

    The new folder replaces the old one once it is complete, so programs that run from the old one
    find every module at any time. Raise InstallFailed, with the old folder in place, otherwise.
    """
    folder = dependencies.folder
    if find_fault(dependencies, folder) is None:
        return False
    unfinished = folder.with_name(folder.name + ".new")
    replaced = folder.with_name(folder.name + ".old")
    for leftover in (unfinished, replaced):
        shutil.rmtree(leftover, ignore_errors=True)
    unfinished.parent.mkdir(parents=True, exist_ok=True)
    run_installer(dependencies.requirements, unfinished)
    fault = find_fault(dependencies, unfinished)
    if fault is not None:
        raise InstallFailed(f"the installed dependencies cannot be used: {fault}")
    if folder.exists():
        os.rename(folder, replaced)
    os.rename(unfinished, folder)
    shutil.rmtree(replaced, ignore_errors=True)
    return True


def find_fault(dependencies: Dependencies, folder: Path) -> str | None:
    """Return why a folder cannot serve as the dependencies, or None if it can."""
    found = {dist.metadata["Name"]: dist for dist in metadata.distributions(path=[str(folder)])}
    for name, version in dependencies.required().items():
        package = found.get(name)
        if package is None or package.version != version:
            given = "none" if package is None else package.version
            return f"expected version {version} of {name}, found {given}"
        for file in package.files or ():
            # pip lists compiled files too, which Python writes again when they are missing.
            if file.suffix != ".pyc" and not Path(file.locate()).exists():
                return f"the file {file} of {name} is missing"
    return _find_import_fault(dependencies.modules, folder)


def _find_import_fault(modules: Sequence[str], folder: Path) -> str | None:
    """Return the error of an import of the modules by a new interpreter, or None."""
    # Without site-packages, since the packages of this machine would hide what is missing.
    command = [sys.executable, "-S", "-c", "import " + ", ".join(modules)]
    environment = {**os.environ, "PYTHONPATH": str(folder)}
    completed = subprocess.run(
        command,
        env=environment,
        capture_output=True,
        text=True,
        timeout=IMPORT_TIMEOUT_S,
        check=False,
    )
    if completed.returncode == 0:
        return None
    lines = completed.stderr.strip().splitlines()
    return lines[-1] if lines else f"the import ended with code {completed.returncode}"


def run_pip(requirements: Path, folder: Path) -> None:
    """Install the packages of a requirements file into a folder."""
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--target", str(folder)]
    command += ["--requirement", str(requirements)]
    completed = subprocess.run(command, check=False)
    if completed.returncode != 0:
        raise InstallFailed(f"pip ended with code {completed.returncode}")


def main(arguments: Sequence[str] | None = None) -> int:
    """Install the dependencies that are not there; return 1 if they cannot be installed."""
    parser = argparse.ArgumentParser(prog="nutmeglead-install-deps", description=__doc__)
    parser.add_argument("--requirements", type=Path, default=Path("deploy/requirements.txt"))
    parser.add_argument("--folder", type=Path, default=Path("target/deps"))
    options = parser.parse_args(arguments)
    try:
        is_new = install(Dependencies(options.requirements, options.folder), run_pip)
    except InstallFailed as error:
        print(f"{options.folder}: {error}", file=sys.stderr)
        return 1
    state = "installed" if is_new else "complete already"
    print(f"{options.folder}: {state}, for Python {platform.python_version()}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
