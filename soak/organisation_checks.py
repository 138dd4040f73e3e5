"""Checks of keys and limits against what callers and replicas recorded."""

from soak.checks import QUIET_S
from soak.organisations import GREEDY, Limit
from soak.record import Call, Record, RunStart

UNAUTHORIZED = 401
# Codes of the refusals that a limit causes.
LIMIT_CODES = (b'"over_limit"', b'"limit_unsure"')
# Seconds after a revocation within which its key may still be used (revoke_ms).
REVOKED_BOUND_S = 5
# In any WINDOW_S seconds an organisation may run at most
# (rate x WINDOW_S + burst) x EXCESS_FACTOR + EXCESS requests.
WINDOW_S = 5
EXCESS_FACTOR = 1.1
EXCESS = 20
# Longest delay, in seconds, by a proxy, of the head and the body of a request.
PROXY_DELAY_S = 0.8
ITEM_PATH = '/lots/'


def check_organisations(record: Record) -> None:
    """Check the promises about organisations, their keys and their limits."""
    for call in record.calls:
        if call.key:
            _check_refusal(record, call)
    keys = {call.id: call.key for call in record.calls}
    for each in record.run_starts:
        is_item = each.target.startswith(ITEM_PATH)
        key = record.organisations.job_key if is_item else keys.get(each.id)
        if key:
            _check_run(record, each, key)
    for name, limit in record.organisations.limits.items():
        if limit.rate_per_s:
            _check_limit(record, name, limit)


def _check_refusal(record: Record, call: Call) -> None:
    """Check that no valid key is denied and no request within its limit."""
    organisations = record.organisations
    if call.status == UNAUTHORIZED and call.key in organisations.first_keys:
        record.add_violation('not denied', f'{call.id} got {call.status}')
    if not any(code in call.body[:1000] for code in LIMIT_CODES):
        return
    # The first call is sent as soon as all entries are ready.
    since = call.sent_at - QUIET_S
    quiet = since >= min(each.sent_at for each in record.calls)
    quiet &= record.is_undisturbed(since, call.ended_at, planned_too=False)
    name = organisations.owners[call.key]
    unlimited = not organisations.limits[name].rate_per_s
    if unlimited or (quiet and name != GREEDY):
        record.add_violation('within the limit', f'{call}')


def _check_run(record: Record, run: RunStart, key: str) -> None:
    if run.organisation != record.organisations.owners[key]:
        record.add_violation('own organisation', f'{run}')
    late_s = run.at - record.organisations.revoked_at.get(key, run.at)
    if not record.is_undisturbed(run.at - QUIET_S, run.at, planned_too=False):
        late_s -= PROXY_DELAY_S
    if late_s > REVOKED_BOUND_S:
        record.add_violation('revoked key', f'{run.id} {late_s:.2f} s')


def _check_limit(record: Record, name: str, limit: Limit) -> None:
    """Check the fullest window; items and further runs do not count."""
    most = (limit.rate_per_s * WINDOW_S + limit.burst) * EXCESS_FACTOR + EXCESS
    starts = {
        each.id: each.at
        for each in reversed(record.run_starts)
        if each.organisation == name and not each.target.startswith(ITEM_PATH)
    }
    windows = [
        (sum(until - WINDOW_S < at <= until for at in starts.values()), until)
        for until in starts.values()
    ]
    if max(windows, default=(0, 0))[0] > most:
        record.add_violation('limit', f'{name}: {max(windows)}, not {most}')
