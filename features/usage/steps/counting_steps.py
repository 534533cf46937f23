import random
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from jujubenotch.daemon import forward_usage
from jujubenotch.daemon.forward_usage import (
    UsageMeter,
    make_usage_watch,
    receive_reports,
    send_reports,
)
from jujubenotch.metrics import make_metrics
from jujubenotch.neighbours import (
    Reassembly,
    decode_message,
    join_datagram,
    split_message,
)
from jujubenotch.outcomes import RefusalReason
from jujubenotch.settings import Address, CloudSettings, ForwarderSettings
from jujubenotch.usage import (
    Gathered,
    ProcessReport,
    ServiceTotals,
    TrueTime,
    UsageBounds,
    UsageCounter,
    UsageLedger,
    add_up_window,
    adopt_records,
    count_arrival,
    count_attempt_start,
    count_capacity_refusal,
    decide_window,
    encode_first,
    encode_window,
    find_demand,
    find_true_offset_s,
    find_unsent,
    make_report,
    make_write,
    merge_report,
    read_true_time_s,
    record_wall_clock,
)
from jujubenotch.usage.rows import FirstWindow

UNIX_S = 1_700_000_000.0
WINDOW_S = 5.0
WINDOW = int(UNIX_S // WINDOW_S)
HOLDER = "10.0.0.9:7000"
TEAMS = [f"customer-{number:02d}" for number in range(24)]


def make_watch():
    address = Address(host="10.0.0.1", port=7000)
    settings_ = ForwarderSettings(
        name="edge-1",
        data_centre="a",
        callers=address,
        readiness=address,
        store=address,
        cloud=CloudSettings(address=address),
    )
    watch = make_usage_watch(settings_, SimpleNamespace(), make_metrics())
    watch.counter.true_time = TrueTime()
    watch.counter.started_s = 0.0
    return watch


@given("a wall clock that is read each second")
def make_clock(context):
    context.clock, context.boot_s = TrueTime(), 100.0
    read_wall_clock(context, 0.0, 60)


def read_wall_clock(context, error_s, seconds):
    context.worst_s = 0.0
    for _ in range(seconds):
        context.boot_s += 1.0
        wall_s = UNIX_S + context.boot_s + error_s
        record_wall_clock(context.clock, boot_s=context.boot_s, wall_s=wall_s)
        true_time_s = read_true_time_s(context.clock, context.boot_s)
        context.off_s = true_time_s - UNIX_S - context.boot_s
        context.worst_s = max(context.worst_s, abs(context.off_s))


@when("it is {error_s:g} s ahead for {seconds:d} s")
@when("it stays {error_s:g} s ahead for {seconds:d} s")
def turn_clock(context, error_s, seconds):
    read_wall_clock(context, error_s, seconds)


@then("true time was never more than {bound_s:g} s off")
def check_true_time(context, bound_s):
    assert context.worst_s <= bound_s, context.worst_s


@then("true time is {error_s:g} s ahead")
def check_new_time(context, error_s):
    assert abs(context.off_s - error_s) < 0.01, context.off_s


@given("reports of 5 processes, of which 2 have a clock that is 100 s ahead")
def gather_clocks(context):
    context.gathered = Gathered(window_s=WINDOW_S)
    for number, error_s in enumerate((100.0, 0.0, 100.0, 0.0, 0.0)):
        report = ProcessReport(
            process=str(number),
            data_centre="a",
            true_time_s=UNIX_S + 50.0 + error_s,
            up_s=1.0,
        )
        merge_report(context.gathered, report, 50.0)


@then("the holder's true time is at most {bound_s:g} s off")
def check_offset(context, bound_s):
    assert abs(find_true_offset_s(context.gathered, 51.0) - UNIX_S) <= bound_s


@then("drawn reports that are lost, repeated and reordered give the highest counts")
def check_merging(context):
    counts = st.dictionaries(st.sampled_from("abc"), st.integers(1, 9))
    reports = st.builds(
        ProcessReport,
        process=st.sampled_from("xyz"),
        data_centre=st.just("a"),
        true_time_s=st.just(UNIX_S),
        up_s=st.floats(0, 100),
        age_s=st.floats(0, 5),
        windows=st.dictionaries(st.integers(WINDOW - 3, WINDOW), counts),
    )

    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    @given_examples(st.lists(reports, max_size=12), st.data())
    def check_one(sent, data):
        repeated = sent + [each for each in sent if data.draw(st.booleans())]
        gathered = Gathered(window_s=WINDOW_S)
        for report in data.draw(st.permutations(repeated)):
            merge_report(gathered, report, 10.0)
        expected = {}
        for report in sent:
            for window, teams in report.windows.items():
                for team, count in teams.items():
                    key = (report.process, window, team)
                    expected[key] = max(count, expected.get(key, 0))
        found = {
            (process, window, team): count
            for process, known in gathered.processes.items()
            for window, teams in known.windows.items()
            for team, count in teams.items()
        }
        assert found == expected

    check_one()


@given("a reader that knows {instances:d} instances of 24 teams and 5 services")
def make_reader(context, instances):
    draws = random.Random(instances)
    context.watch = make_watch()
    context.watch.is_forwarding = lambda: True
    context.reports = [
        ProcessReport(
            process=f"{draws.getrandbits(48):012x}",
            data_centre="a",
            true_time_s=UNIX_S + 2.0,
            up_s=draws.uniform(0, 1e5),
            windows={
                window: {team: draws.randrange(1, 60) for team in TEAMS}
                for window in range(WINDOW - 5, WINDOW + 1)
            },
            services={
                f"service-{number}": ServiceTotals(
                    arrived=draws.randrange(10**6),
                    refused=draws.randrange(10**4),
                    prompt_tokens=draws.randrange(10**9),
                    answer_tokens=draws.randrange(10**9),
                    slot_s=draws.uniform(0, 1e7),
                )
                for number in range(5)
            },
        )
        for _ in range(instances)
    ]
    for report in context.reports:
        merge_report(context.watch.gathered, report, 100.0)


def send_to_holder(context, now_s):
    """Send what is due; return the bytes and the messages as they were received."""
    sent, messages = [], []

    def send(message, addresses):
        datagrams = split_message(message, len(messages))
        if datagrams is not None:
            reassembly = Reassembly()
            parts = [join_datagram(reassembly, "", each, 0.0) for each in datagrams]
            sent.extend(datagrams)
            messages.append(decode_message(parts[-1]))
        return datagrams is not None

    context.watch.send = send
    send_reports(context.watch, now_s, UNIX_S + 2.0 + now_s - 100.0)
    return sum(map(len, sent)), messages


@then("its counts of one second are sent in at most {bound:d} bytes")
def check_size(context, bound):
    context.watch.find_receiver = lambda: HOLDER
    context.watch.last_receiver = HOLDER
    size, messages = send_to_holder(context, 100.1)
    assert len(messages) > 1
    assert size <= bound, size


@then(
    "all counts of 25 s are sent after a change of the holder, each datagram complete"
)
def check_full(context):
    context.watch.find_receiver = lambda: "10.0.0.8:7000"
    _, messages = send_to_holder(context, 101.1)
    gathered = Gathered(window_s=WINDOW_S)
    for message in messages:
        for report in message.reports:
            merge_report(gathered, report, 5.0)
    for report in context.reports:
        received = gathered.processes[report.process]
        assert received.samples[-1].services.keys() == report.services.keys()
        # The oldest window has ended more than 25 s ago.
        assert received.windows == {
            window: counts
            for window, counts in report.windows.items()
            if window >= WINDOW - 5
        }


@given("an instance that counted requests of {count:d} teams")
def count_many(context, count):
    context.watch = make_watch()
    record_wall_clock(context.watch.counter.true_time, boot_s=100.0, wall_s=UNIX_S)
    draws = random.Random(count)
    context.counts = {f"{draws.getrandbits(64):016x}": 1 for _ in range(count)}
    context.watch.counter.windows[WINDOW] = dict(context.counts)
    context.watch.find_receiver = lambda: HOLDER


@then("all of its counts arrive at the receiver")
def check_many(context):
    _, messages = send_to_holder(context, 100.0)
    receiver = make_watch()
    with mock.patch.object(forward_usage, "read_boot_clock_s", lambda: 7.0):
        for message in messages:
            receive_reports(receiver, message)
    assert len(messages) > 10
    assert add_up_window(receiver.gathered, WINDOW) == context.counts


def make_ledger(records, era=3):
    ledger = UsageLedger(bounds=UsageBounds())
    adopt_records(ledger, records, era, UNIX_S)
    return ledger


@then("drawn rows never cause an error at take-over")
def check_rows(context):
    valid = encode_window(3, WINDOW - 1, {"a": 1})
    contents = st.one_of(
        st.binary(max_size=40),
        st.integers(0, len(valid) - 1).map(lambda end: valid[:end]),
        st.sampled_from([b"{}", b'{"era":-1,"window":3}', b"[]", valid]),
    )
    names = st.sampled_from(["usage-first", "usage-7", "usage--7", "usage-x", "orders"])

    @settings(derandomize=True, database=None, max_examples=300, deadline=None)
    @given_examples(st.dictionaries(names, contents))
    def check_one(records):
        ledger = make_ledger(records)
        assert ledger.first >= WINDOW
        assert make_write(ledger, UNIX_S) is not None

    check_one()


@then("a row of an earlier era is not sent")
def check_era(context):
    first = encode_first(FirstWindow(era=3, window=WINDOW))
    for era, unsent in ((3, [WINDOW - 1]), (2, [])):
        row = encode_window(era, WINDOW - 1, {"a": 1})
        ledger = make_ledger({f"usage-{WINDOW - 1}": row, "usage-first": first})
        assert find_unsent(ledger, UNIX_S) == unsent
        assert ledger.first == WINDOW


@then("a window of {teams:d} teams is given up and the next one is decided")
def check_too_large(context, teams):
    draws = random.Random(teams)
    counts = {f"{draws.getrandbits(64):016x}": 1 for _ in range(teams)}
    ledger = make_ledger({})
    assert not decide_window(ledger, WINDOW, counts)
    assert decide_window(ledger, WINDOW + 1, {"a": 1})
    try:
        decide_window(ledger, WINDOW, {"a": 1})
    except ValueError:
        return
    raise AssertionError("a window was decided twice")


def start_counter(context):
    name = f"p{next(context.numbers)}"
    counter = UsageCounter(
        process=name, data_centre="a", window_s=WINDOW_S, started_s=context.now_s
    )
    for _ in range(8):
        count_attempt_start(counter, "chat", context.now_s)
    return counter


@given("3 instances with 20 arrivals, 5 refusals and 8 running requests a second each")
def start_counters(context):
    context.numbers = iter(range(100))
    context.now_s = 1000.0
    context.gathered = Gathered(window_s=WINDOW_S)
    context.counters = [start_counter(context) for _ in range(3)]


@when("they have reported for {seconds:d} s")
def report_demand(context, seconds):
    for _ in range(seconds):
        context.now_s += 1.0
        for counter in context.counters:
            for number in range(20):
                count_arrival(counter, "chat", 100)
                if number < 5:
                    count_capacity_refusal(counter, "chat")
            merge_report(
                context.gathered, make_report(counter, context.now_s), context.now_s
            )


@when("one of them restarts and the others go on for {seconds:d} s")
def restart(context, seconds):
    context.counters[0] = start_counter(context)
    context.counters[0].true_time = context.counters[1].true_time
    report_demand(context, seconds)


@when("no report arrives for {seconds:d} s")
def wait(context, seconds):
    context.now_s += seconds


@then(
    "the demand is {arrived:d} arrivals, {refused:d} refusals and {busy:d} busy slots "
    "of {instances:d} instances"
)
def check_demand(context, arrived, refused, busy, instances):
    demand = find_demand(context.gathered, context.now_s)[("chat", "a")]
    # A process that ended in the last 5 s can't be told from one whose reports were
    # lost, and is counted once more.
    share = instances / 3
    assert abs(demand.arrived_per_s - arrived * share) < 0.01, demand
    assert abs(demand.refused_per_s - refused * share) < 0.01, demand
    assert abs(demand.busy_slots - busy * share) < 0.01, demand
    assert abs(demand.prompt_tokens_per_s - 100 * arrived * share) < 1, demand
    assert demand.instances == instances, demand
    assert demand.age_s <= 5.0


@then("there is no demand")
def check_no_demand(context):
    assert find_demand(context.gathered, context.now_s) == {}


@then("a borrowed call counts as begun and running, but not as arrived or refused")
def check_borrowed(context):
    for is_borrowed in (False, True):
        counter = make_watch().counter
        meter = UsageMeter(counter=counter, read_clock_s=lambda: 50.0)
        call = SimpleNamespace(
            is_borrowed=is_borrowed,
            target="chat",
            prompt_tokens=7,
            team=SimpleNamespace(name="a"),
        )
        meter.record_arrival(call)
        meter.record_begin(call)
        meter.record_attempt_start("chat")
        meter.record_end(call, SimpleNamespace(reason=RefusalReason.QUEUE_FULL))
        totals = counter.services["chat"]
        counted = 0 if is_borrowed else 1
        assert (totals.arrived, totals.refused) == (counted, counted)
        assert (totals.running, totals.prompt_tokens) == (1, 7 * counted)
        assert counter.windows == {10: {"a": 1}}
