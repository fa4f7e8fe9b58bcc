"""Command line of poplarlane-bench."""

import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from poplarlane.bench import capacity, control_cost
from poplarlane.bench.control_fleet import ControlExperiment
from poplarlane.bench.experiment import InvalidExperiment, decode, load_experiment
from poplarlane.bench.runner import Run

EXIT_INVALID = 2
LINE_WIDTH = 150


def is_control_experiment(path: str) -> bool:
    """Tell whether a file describes control work instead of a load."""
    try:
        document = msgspec.json.decode(Path(path).read_bytes())
    except (OSError, msgspec.DecodeError):
        return False
    return isinstance(document, dict) and "control" in document


class RunCommand(Command):
    """Run one experiment file."""

    name = "run"
    description = "Run an experiment against real processes and check the invariants."
    arguments = [argument("experiment", "JSON file of the experiment")]
    options = [
        option("out", None, "directory for results", flag=False, default="out"),
        option("seed", None, "use this seed in place of the seeds of the file", flag=False),
    ]

    def handle(self) -> int:
        """Run, report, and give status 1 unless every check held."""
        path = self.argument("experiment")
        if is_control_experiment(path):
            return self.run_control(path)
        try:
            experiment, layouts = load_experiment(path)
        except InvalidExperiment as error:
            self.line_error(str(error))
            return EXIT_INVALID
        if self.option("seed"):
            experiment.seeds = [int(self.option("seed"))]
        out = Path(self.option("out"))
        run = Run(experiment, layouts, out, self.progress)
        run.execute()
        run.write(f"poplarlane-bench run {path} --out {out}, seeds {experiment.seeds}")
        return self.conclude(run, out)

    def run_control(self, path: str) -> int:
        """Run an experiment on control work; its last line holds the figures."""
        try:
            experiment = decode(Path(path), ControlExperiment)
        except InvalidExperiment as error:
            self.line_error(str(error))
            return EXIT_INVALID
        if self.option("seed"):
            experiment.seed = int(self.option("seed"))
        line, within = control_cost.run(experiment)
        self.line(line)
        return 0 if within else 1

    def progress(self, text: str) -> None:
        """Show progress on one line of a terminal, and not at all elsewhere."""
        if sys.stderr.isatty():
            sys.stderr.write("\r" + text[:LINE_WIDTH].ljust(LINE_WIDTH))
            sys.stderr.flush()

    def conclude(self, run: Run, out: Path) -> int:
        """Print the report's place, what failed, and the verdict as the last line."""
        self.progress("")
        self.line(f"report: {out / 'report.md'}")
        for text in run.faults:
            self.line(f"failed: {text}")
        for text in run.tally.examples:
            self.line(f"violated: {text}")
        self.line(run.line())
        return 0 if run.passed() else 1


class CapacityCommand(Command):
    """Measure slopes for docs/CAPACITY.md."""

    name = "capacity"
    description = "Measure slopes for the capacity page: " + ", ".join(capacity.MEASUREMENTS)
    arguments = [argument("measurement", "a name from the list, or all")]
    options = [
        option("out", None, "directory for points, fits and plots", flag=False, default="out"),
        option("seed", None, "seed of the generated load", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run one measurement or all, and print a line for each slope."""
        wanted = self.argument("measurement")
        names = list(capacity.MEASUREMENTS) if wanted == "all" else [wanted]
        if wanted != "all" and wanted not in capacity.MEASUREMENTS:
            known = ", ".join(capacity.MEASUREMENTS)
            self.line_error(f"unknown measurement {wanted!r}; known: {known}, all")
            return EXIT_INVALID
        for name in names:
            for line in capacity.run(name, int(self.option("seed")), Path(self.option("out"))):
                self.line(line)
        return 0


class ModelCommand(Command):
    """Compare policies in the model."""

    name = "model"
    description = "Compare policies under load patterns in virtual time, without processes."
    options = [
        option("out", None, "directory for table and plot", flag=False, default="out"),
        option("seed", None, "seed of the load", flag=False, default="1"),
        option("nodes", None, "number of nodes", flag=False, default="24"),
        option("targets", None, "number of targets", flag=False, default="17"),
        option("pattern", None, "only this pattern", flag=False),
        option("policy", None, "only this policy", flag=False),
    ]

    def handle(self) -> int:
        """Play, print the table, and write it with a plot."""
        from poplarlane.bench import model_report

        patterns = chosen(self.option("pattern"), model_report.PATTERNS, lambda item: item.name)
        policies = chosen(self.option("policy"), model_report.POLICIES, str)
        if not patterns or not policies:
            known = ", ".join(pattern.name for pattern in model_report.PATTERNS)
            self.line_error(f"patterns: {known}; policies: {', '.join(model_report.POLICIES)}")
            return EXIT_INVALID
        numbers = [int(self.option(name)) for name in ("nodes", "targets", "seed")]
        found = model_report.compare(patterns, policies, *numbers)
        lines = model_report.table(found)
        out = Path(self.option("out"))
        out.mkdir(parents=True, exist_ok=True)
        (out / "model.md").write_text("\n".join(lines) + "\n")
        model_report.plot(found, out / "model.png")
        for line in lines:
            self.line(line)
        return 0


class AblateCommand(Command):
    """Show what each mechanism is worth in the model."""

    name = "ablate"
    description = "Play the model with each mechanism switched off; differences of paired seeds."
    options = [
        option("seeds", None, "number of seeds", flag=False, default="20"),
        option("nodes", None, "number of nodes", flag=False, default="24"),
        option("targets", None, "number of targets", flag=False, default="17"),
        option("workers", None, "processes that play", flag=False, default="3"),
    ]

    def handle(self) -> int:
        """Play and print the table."""
        from poplarlane.bench import ablation

        numbers = [int(self.option(name)) for name in ("seeds", "nodes", "targets", "workers")]
        for line in ablation.ablate(*numbers):
            self.line(line)
        return 0


def chosen(wanted: str | None, known: tuple, name_of: Callable) -> tuple:
    """Choose by name, or all without one."""
    return tuple(item for item in known if wanted is None or name_of(item) == wanted)


def main() -> None:
    """Run the command line."""
    application = Application("poplarlane-bench")
    application.add(RunCommand())
    application.add(CapacityCommand())
    application.add(ModelCommand())
    application.add(AblateCommand())
    sys.exit(application.run())
