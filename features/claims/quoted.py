"""A step parameter type that matches text up to the next quotation mark."""

import parse
from behave import register_type


@parse.with_pattern(r'[^"]*')
def read_quoted(text):
    return text


register_type(Quoted=read_quoted)
