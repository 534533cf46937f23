import asyncio
import contextlib
import hashlib
import io
import json
import os
import re
import shlex
import ssl
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from features.certificates import make_authority, make_certificate
from features.operator_server import KEY, run_in_server, start_operator_server
from features.programs import start_daemon, start_program, wait_until
from jujubenotch.cli import program
from jujubenotch.records import build_configuration, list_records, parse_documents

ROOT = Path(__file__).resolve().parents[3]
PROGRAM_TIMEOUT_S = 60


@given("an instance and the record files of docs/RECORDS.md")
def start_instance(context):
    context.server = start_operator_server(context)
    context.address = context.server.address
    write_files(context)


@given("the record files of docs/RECORDS.md")
def write_files(context):
    context.key = KEY
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)
    text = (ROOT / "docs" / "RECORDS.md").read_text()
    version_2, version_1 = re.findall(
        r"```toml\n(schema_version.*?)```", text, re.DOTALL
    )
    without_class = re.sub(r"\[\[class\]\].*?\n\n", "", version_1, flags=re.DOTALL)
    write_file(context, "new.toml", version_2)
    write_file(context, "old.toml", without_class)


def write_file(context, name, text):
    (context.directory / name).write_text(text)


@when('"{command}" is run')
def run_command(context, command):
    arguments = shlex.split(command)
    if not any(argument.startswith("--address") for argument in arguments):
        arguments.append(f"--address={context.address}")
    output, errors = io.StringIO(), io.StringIO()
    previous_directory = os.getcwd()
    os.environ[program.KEY_VARIABLE] = context.key
    os.chdir(context.directory)
    program.commands.RETRY_WAIT_S = 0.01
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            context.code = program.main(arguments)
    finally:
        os.chdir(previous_directory)
        del os.environ[program.KEY_VARIABLE]
    context.stdout = output.getvalue()
    context.printed = context.stdout + errors.getvalue()


@given("two daemons that use the same stand-in for the platform")
def start_daemons(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    platform = start_program(context, "standins.platform")
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    sections = {
        "platform": {"kind": "http", "url": platform.url},
        "operators": {"key_sha256": [digest]},
    }
    first = start_daemon(context, directory.name, sections, "a1")
    seed = f"a1@north@127.0.0.1:{first.peers_port}"
    sections["peers"] = {"seeds": [seed]}
    second = start_daemon(context, directory.name, sections, "a2")
    context.daemons = {"first": first, "second": second}


@when('"{command}" is run against the {daemon} daemon')
def run_against_daemon(context, command, daemon):
    context.address = context.daemons[daemon].operators_url
    run_command(context, command)


@then('"{command}" against the {daemon} daemon prints "{text}" within {bound_s:d} s')
def check_eventual_output(context, command, daemon, text, bound_s):
    def is_printed():
        run_against_daemon(context, command, daemon)
        return text in context.printed

    wait_until(is_printed, bound_s)


@given("the files are applied")
def apply_files(context):
    run_command(context, "apply new.toml old.toml")
    assert context.code == 0, context.printed


@given('the key "{key}" is in the environment')
def set_key(context, key):
    context.key = key


@given("the platform is down")
def stop_platform(context):
    context.server.platform.is_down = True


@when('a file "{name}" is written that sets team "{team}" to weight {weight:d}')
def write_team_file(context, name, team, weight):
    write_file(
        context,
        name,
        f'schema_version = 2\n[[team]]\nname = "{team}"\nweight = {weight}.0\n',
    )


@when('a file "{name}" is written that deletes power_cap "{record}"')
def write_deletion_file(context, name, record):
    write_file(
        context,
        name,
        f'schema_version = 1\n[[delete]]\nkind = "power_cap"\nname = "{record}"\n',
    )


@given('a file "{name}" with two errors')
def write_invalid_file(context, name):
    text = 'schema_version = 2\n[[team]]\nname = "a"\nweight = "b"\ncolour = 1\n'
    write_file(context, name, text)


@given("the responses to the next {count:d} requests are lost")
def lose_responses(context, count):
    """Start a relay to the instance that cuts connections at the first byte received."""
    remaining = [count]

    async def relay(reader, writer):
        from_instance, to_instance = await asyncio.open_connection(
            "127.0.0.1", context.server.port
        )
        forwarding = asyncio.ensure_future(copy(reader, to_instance))
        if remaining[0]:
            remaining[0] -= 1
            await from_instance.read(1)
        else:
            with contextlib.suppress(asyncio.CancelledError):
                await copy(from_instance, writer)
        forwarding.cancel()
        writer.transport.abort()
        to_instance.transport.abort()

    async def copy(reader, writer):
        while content := await reader.read(65536):
            writer.write(content)
            await writer.drain()

    async def serve():
        return await asyncio.start_server(relay, "127.0.0.1", 0)

    server = run_in_server(context.server, serve())
    port = server.sockets[0].getsockname()[1]
    context.address = f"http://127.0.0.1:{port}"
    context.add_cleanup(context.server.loop.call_soon_threadsafe, server.close)


@given("an instance with TLS and the operator's key in a file")
def start_tls_instance(context):
    authority = make_authority(context.directory, "ca")
    files = make_certificate(context.directory, authority, "instance")
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    tls.load_cert_chain(files.certificate, files.key)
    server = start_operator_server(context, tls=tls)
    context.address = server.address
    context.key = ""
    write_file(context, "key.txt", KEY + "\n")


@then('the command exits with {code:d} and prints "{text}"')
def check_exit(context, code, text):
    assert context.code == code, (context.code, context.printed)
    check_printed(context, text)


@then('the command prints "{text}"')
def check_printed(context, text):
    assert text in context.printed, context.printed


@then('the command doesn\'t print "{text}"')
def check_not_printed(context, text):
    assert text not in context.printed, context.printed


@then('the command exits with 0 and prints a JSON object with "{member}"')
def check_json(context, member):
    assert context.code in (0, 1), context.printed
    assert member in json.loads(context.stdout), context.stdout


@then("the output is a record file of schema version 2 with the records in force")
def check_round_trip(context):
    edit = parse_documents({"get.toml": context.stdout})
    assert hasattr(edit, "records"), str(edit)
    found = list_records(build_configuration(edit.records, 1))
    assert found == list_records(context.server.store.replica.configuration)


@then("the platform has stored {count:d} change")
def check_changes(context, count):
    assert len(context.server.platform.tables["configuration-changes"]) == count


@when('the tool is run as a program with "{arguments}"')
def run_program(context, arguments):
    completed = subprocess.run(
        [sys.executable, "-m", "jujubenotch.cli.program", *arguments.split()],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=PROGRAM_TIMEOUT_S,
    )
    context.code = completed.returncode
    context.stdout = completed.stdout
    context.printed = completed.stdout + completed.stderr


@then("docs/CLI.md contains the same text")
def check_cli_page(context):
    assert context.stdout.strip() in (ROOT / "docs" / "CLI.md").read_text()
