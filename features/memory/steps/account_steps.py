import re

from behave import given, then, when

from jujubenotch.memory import MemoryAccount, MemoryUse, Rank, record_size

NOW_S = 100.0
NEW_S = 0.01


@given("{size:d} bytes that may be held together")
def make_account(context, size):
    context.account = MemoryAccount(max_bytes=size)
    context.ended = []
    context.names = iter(("the first", "the second", "the new one"))


def hold(context, size, *, lasted_s=None, is_unbounded=False):
    name = next(context.names)

    def rank(use, now_s):
        if lasted_s is None:
            return None
        return Rank(is_unbounded=is_unbounded, weight=use.size_bytes * lasted_s)

    use = MemoryUse(rank=rank, end=lambda: context.ended.append(name))
    record_size(context.account, use, size, NOW_S)


@given("a use of {size:d} bytes that {what}")
def add_use(context, size, what):
    lasted = re.search(r"(\d+) s", what)
    if what == "is worked on":
        hold(context, size)
    elif lasted:
        hold(context, size, lasted_s=float(lasted[1]))
    else:
        hold(context, size, lasted_s=NEW_S, is_unbounded=True)


@when("a new use comes to hold {size:d} bytes")
def add_new(context, size):
    hold(context, size, lasted_s=NEW_S)


@then("the uses that were ended are {names}")
def check_ended(context, names):
    assert context.ended == [names], context.ended
    assert context.account.total_bytes <= context.account.max_bytes
