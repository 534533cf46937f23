from contextlib import suppress

from behave import given, then, when

from jujubenotch.memory import MemoryAccount
from jujubenotch.upstreams.errors import AnswerTooLargeError
from jujubenotch.upstreams.held_bytes import make_answer_use, record_held


@given("responses that may hold {size:d} bytes together")
def make_memory(context, size):
    context.memory = MemoryAccount(max_bytes=size)
    context.ended = []


def record_held_first(memory, answer):
    memory.uses.add(answer)


def hold(context, size, *, has_length):
    answer = make_answer_use(has_length=has_length, cut=lambda error: None)
    record_held_first(context.memory, answer)
    before = set(context.memory.uses)
    with suppress(AnswerTooLargeError):
        record_held(context.memory, answer, size)
    context.ended += [each.size_bytes for each in before - context.memory.uses]


@given("a response with a length that holds {size:d} bytes")
def hold_with_length(context, size):
    hold(context, size, has_length=True)


@given("a response without a length that holds {size:d} bytes")
@when("a response without a length comes to hold {size:d} bytes")
def hold_without_length(context, size):
    hold(context, size, has_length=False)


@then("the responses that were ended held {sizes} bytes")
def check_ended(context, sizes):
    expected = [] if sizes == "none" else [int(sizes)]
    assert context.ended == expected, context.ended


@then("all others hold {size:d} bytes together")
def check_held(context, size):
    assert context.memory.total_bytes == size, context.memory
