"""Checks of promises that hold in every soak run."""

from collections import Counter

from tests.gateway_site import SIGKILL, call, wait_until

# Maximum recovery time after the last fault that the platform allows.
RECOVERY_S = 12
# CPU time until the interpreter runs a program; up to 45 ms were measured.
INTERPRETER_START_CPU_S = 0.06
# Requests of these kinds run once at most.
AT_MOST_ONCE_KINDS = frozenset(('pay', 'draft', 'spare'))
# Statuses that promise that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def find_recovery_faults(site):
    """Wait until all gateways are ready, then send some requests."""
    gateways = list(site.gateways.values())
    try:
        wait_until(
            lambda: all(
                gateway.process.poll() is None and gateway.is_ready()
                for gateway in gateways
            ),
            RECOVERY_S,
        )
    except AssertionError as error:
        return [f'recovery: {error}']
    faults = []
    for number in range(max(10, len(gateways))):
        gateway = gateways[number % len(gateways)]
        status = call(gateway, '/read/x', f'after-{number}').status_code
        if status != 200:
            faults.append(f'after-{number}: status {status}')
    return faults


def find_run_faults(site, outcomes):
    """Compare the runs at the engines with what the callers were told.

    :param outcomes: kind and status by name of the request.
    """
    runs = Counter(
        name for engine in site.engines.values() for name in engine.runs
    )
    faults = []
    for name, (kind, outcome) in outcomes.items():
        if kind not in AT_MOST_ONCE_KINDS:
            continue
        if runs[name] > 1:
            faults.append(f'{name}: ran {runs[name]} times')
        if runs[name] and outcome in NOT_RUN_STATUSES:
            faults.append(f'{name}: ran, but the response was {outcome}')
    return faults


def find_usage_faults(site):
    """Check the usage reports of all gateways."""
    faults = []
    figures = {}
    fences = []
    for _, fence, window, counts in site.duties.usage:
        if figures.setdefault(window, counts) != counts:
            faults.append(f'window {window}: conflicting counts')
        fences.append(fence)
    if fences != sorted(fences):
        faults.append(f'fencing tokens decrease: {fences}')
    return faults


def find_exit_faults(site):
    """Find processes that failed, or that a signal ended by its default action.

    A signal that arrives while the interpreter starts does so in any program.
    """
    faults = []
    for gateway in site.gateways.values():
        for row in gateway.exits:
            sent = [
                signal
                for signal in gateway.signals
                if signal.pid == row.pid and signal.number == -row.status
            ]
            is_allowed = row.status == 0 or any(
                signal.number == SIGKILL
                or signal.cpu_s < INTERPRETER_START_CPU_S
                for signal in sent
            )
            if not is_allowed:
                faults.append(
                    f'{gateway.node}: process {row.pid} ended with status '
                    f'{row.status}'
                )
    return faults
