import doctest
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parents[3]


@when('the examples of "{page}" are run')
def run_examples(context, page):
    context.result = doctest.testfile(str(ROOT / page), module_relative=False)


@then("each example produces the output shown on the page")
def check_examples(context):
    assert context.result.attempted > 0, context.result
    assert context.result.failed == 0, context.result
