"""Steps for the build's installation of dependencies, with an installer of its own."""

import os
import shutil
import tempfile
from pathlib import Path

from behave import given, then, when

from nutmeglead.programs.install_deps import Dependencies, InstallFailed, find_fault, install

MODULES = ("alpha", "beta", "beta.part")


class Build:
    """Hold the folder, and count what the installer does."""

    def __init__(self, directory):
        requirements = Path(directory) / "requirements.txt"
        requirements.write_text("alpha==1.0\nbeta==2.0  # compiled\n")
        os.utime(requirements, (0, 0))
        self.folder = Path(directory) / "target" / "deps"
        self.dependencies = Dependencies(requirements, self.folder, MODULES)
        self.installs = 0
        self.contents_during_install = None
        self.error = None
        write_packages(self.folder)

    def run_installer(self, requirements, folder):
        self.installs += 1
        write_packages(folder)
        self.contents_during_install = self.contents()

    def contents(self):
        return sorted(
            (str(path.relative_to(self.folder)), path.read_bytes())
            for path in self.folder.rglob("*")
            if path.is_file() and path.suffix != ".pyc"
        )


def write_packages(folder, alpha_version="1.0"):
    write_package(folder, "alpha", alpha_version, {"alpha/__init__.py": ""})
    write_package(folder, "beta", "2.0", {"beta/__init__.py": "", "beta/part.py": ""})


def write_package(folder, name, version, files):
    info = f"{name}-{version}.dist-info"
    files = {
        **files,
        f"{info}/METADATA": f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n",
    }
    record = f"{info}/RECORD"
    files[record] = "".join(f"{path},,\n" for path in [*files, record])
    for path, text in files.items():
        target = folder / path
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(text)


@given("a folder of dependencies, which is newer than the requirements")
def step_folder(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.build = Build(directory.name)


@given("it is as the build left it")
def step_untouched(context):
    pass


@given("it is empty")
def step_empty(context):
    shutil.rmtree(context.build.folder)
    context.build.folder.mkdir()


@given("it is missing")
def step_missing(context):
    shutil.rmtree(context.build.folder)


@given("a file of it is missing")
def step_file_missing(context):
    (context.build.folder / "beta" / "part.py").unlink()


@given("a package of it is missing")
def step_package_missing(context):
    shutil.rmtree(context.build.folder / "beta")
    shutil.rmtree(context.build.folder / "beta-2.0.dist-info")


@given("a package of it has another version")
def step_other_version(context):
    shutil.rmtree(context.build.folder)
    write_packages(context.build.folder, "0.9")


@given("a compiled module of it is for another processor")
def step_other_processor(context):
    # As for a compiled module of another processor, there is a file, and its import fails.
    (context.build.folder / "beta" / "part.py").write_text("raise ImportError('wrong format')")


@given("an earlier install has left its unfinished folder")
def step_unfinished(context):
    (context.build.folder.parent / "deps.new" / "alpha").mkdir(parents=True)


@when("the build runs")
def step_runs(context):
    build = context.build
    build.before = build.contents()
    install(build.dependencies, build.run_installer)


@when("the build runs with an installer that {behaviour}")
def step_runs_badly(context, behaviour):
    build = context.build
    build.before = build.contents()

    def run_installer(requirements, folder):
        if behaviour == "fails":
            raise InstallFailed("the installer ended with code 1")
        write_package(folder, "alpha", "1.0", {"alpha/__init__.py": ""})

    try:
        install(build.dependencies, run_installer)
    except InstallFailed as error:
        build.error = error


@then("it {action}, and the modules of all requirements can be imported")
def step_action(context, action):
    build = context.build
    assert build.installs == (action == "installs the dependencies"), build.installs
    assert find_fault(build.dependencies, build.folder) is None


@then("the build fails, and the folder is as it was")
def step_fails(context):
    build = context.build
    assert build.error is not None
    assert build.contents() == build.before


@then("the old files were there until the new ones were complete")
def step_old_usable(context):
    build = context.build
    assert build.contents_during_install == build.before != build.contents()
