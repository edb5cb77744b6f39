"""Print results of scenarios as a table and plot the service received."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from bulrushstream.measure.scenario import ScenarioResult

HEADER: Final = (
    f"{'scenario':22} {'seed':>4} {'policy':17} {'service':12} {'gap':>7} "
    f"{'use':>6} {'waited':>7} {'idle ms':>8} {'int p95':>8} {'bat p95':>8} "
    f"{'B/s max':>8} {'core max':>8}"
)
ROW: Final = (
    "{scenario:22} {seed:4} {policy:17} {service:12} {gap:7.1f} "
    "{use:6.3f} {waited:6.1f}s {idle:8.1f} {interactive:7.2f}s {batch:7.2f}s "
    "{size:8.0f} {cpu:8.4f}"
)


def print_scenario(results: Iterable[ScenarioResult], *, header: bool) -> None:
    """Print a line for each service of each result.

    :param results: the results
    :param header: whether to print the column names first
    """
    if header:
        print(HEADER)
    for result in results:
        size = max(node.control_bytes_per_s for node in result.nodes)
        cpu = max(node.core_cpu_share for node in result.nodes)
        for each in result.services:
            line = ROW.format(
                scenario=result.scenario,
                seed=result.seed,
                policy=result.policy,
                service=each.service,
                gap=each.gap,
                use=each.utilisation,
                waited=each.waited_s,
                idle=each.longest_idle_ms,
                interactive=each.interactive_p95_s,
                batch=each.batch_p95_s,
                size=size,
                cpu=cpu,
            )
            print(line, flush=True)
        verdicts = ", ".join(
            f"{count} {name}" for name, count in result.load.verdicts.items()
        )
        print(f"  answers: {verdicts}; sent late {result.load.late_s:.2f} s")


def draw_service(result: ScenarioResult, file: str) -> None:
    """Plot the service that each workspace received over time.

    :param result: the result to plot
    :param file: the PNG file to write
    :raises ImportError: if matplotlib, an optional package, is missing
    """
    # Imported here because the package is optional: only plots need it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 6))
    axes = figure.subplots()
    times_s = [at_s for at_s, _ in result.served]
    for index, workspace in enumerate(result.workspaces):
        axes.plot(
            times_s,
            [received[index] for _, received in result.served],
            label=workspace,
        )
    axes.set_xlabel("time, s")
    axes.set_ylabel(f"service received at {result.services[0].service}")
    axes.set_title(f"{result.scenario}, {result.policy}, seed {result.seed}")
    axes.legend(fontsize="x-small", ncols=2)
    figure.savefig(file, dpi=100)
