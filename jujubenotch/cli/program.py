"""Operates a fleet of jujubenotch routers through any one of its instances.

Usage:
  jujubenotch apply [--base=REVISION] [--change-id=ID] [options] FILE...
  jujubenotch diff [--base=REVISION] [options] FILE...
  jujubenotch validate [--partial] [options] FILE...
  jujubenotch get [options] [KIND [NAME]]
  jujubenotch status [options]
  jujubenotch upstreams [options]
  jujubenotch instances [options]
  jujubenotch explain [options] REQUEST-ID
  jujubenotch preview [--header=HEADER]... [options] METHOD URL
  jujubenotch drain [--undo] [options] UPSTREAM
  jujubenotch (-h | --help)
  jujubenotch --version

Commands:
  apply      Put the records of TOML files in force, all or nothing.
  diff       Show what apply would change.
  validate   Check files offline and print every problem.
  get        Print records in force as TOML. KIND is class, team, application,
             binding, upstream, route, power_cap, drain or limits.
  status     Print the state of the instance.
  upstreams  Print the upstreams as the instance sees them.
  instances  Print the instances as the instance sees them.
  explain    Print why a request was queued, routed, retried or refused.
  preview    Print where a request would go now, and why, without sending it. Works
             with instances on the users' platform; --address is that of their
             metrics, http://host:9464.
  drain      Send an upstream no new work.

Options:
  --address=URL       The operators' address of an instance
                      [default: http://127.0.0.1:8081].
  --key-file=FILE     A file that holds the operator's key; without it the key
                      is read from the environment variable JUJUBENOTCH_KEY.
  --ca=FILE           PEM file of the authorities that sign the instance's
                      certificate; without it the system's own.
  --certificate=FILE  PEM file with a client certificate and its key, where the
                      instance asks for one.
  --timeout=SECONDS   For each request [default: 30].
  --json              Print JSON.
  --base=REVISION     The revision that the files were edited from: a record
                      changed since is a conflict. Without it the files start
                      from what is in force.
  --change-id=ID      Names the change, so that a repeat is made once; without
                      it a new one is drawn.
  --partial           The files are a part of the records, so that they may
                      name records of other files.
  --header=HEADER     A header of the request, as NAME:VALUE; may be repeated.
  --undo              Send the upstream work again.
  -h --help           Show this text.
  --version           Show the version.

Exit codes:
  0  done; for diff: nothing would change
  1  diff: something would change
  2  the command line is wrong or a file can't be read
  3  the records are wrong; nothing was changed
  4  conflict: another operator changed the same records; nothing was changed
  5  refused; nothing was changed
  6  a change may have been made: repeat it with the change id that is printed
  7  the operator's key is missing or wrong
  8  the instance can't be reached or gives no answer
  9  the record, request or upstream is not known
  10 drain: done, but the records could not be changed, so that it ends when the
     instance does; repeat it when the platform answers
"""

import asyncio
import os
import ssl
import sys
import uuid
from dataclasses import replace
from importlib import metadata
from pathlib import Path
from urllib.parse import urlsplit

from docopt import DocoptExit, docopt
from pydantic import ValidationError

from jujubenotch.cli import commands, queries
from jujubenotch.cli.client import OperatorClient
from jujubenotch.cli.errors import CliError, ExitCode, UsageError
from jujubenotch.operators import ApplyRequest, FileDocument, PreviewRequest

KEY_VARIABLE = "JUJUBENOTCH_KEY"


def main(arguments: list[str] | None = None) -> int:
    """Run one command.

    :param arguments: The command-line arguments; ``None`` reads ``sys.argv``.
    :returns: The exit code.
    """
    version = metadata.version("jujubenotch")
    try:
        options = docopt(__doc__, argv=arguments, version=version)
        return int(_run(options))
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return int(ExitCode.USAGE)
    except CliError as error:
        print(error, file=sys.stderr)
        return int(error.exit_code)


def _run(options) -> ExitCode:
    is_json = options["--json"]
    if options["validate"]:
        texts = _read_files(options["FILE"])
        return queries.validate_files(
            texts, is_partial=options["--partial"], is_json=is_json
        )
    client = _make_client(options)
    if options["apply"]:
        document = _make_apply_request(options, is_dry_run=False)
        command = commands.apply_files(client, document, is_json=is_json)
    elif options["diff"]:
        document = _make_apply_request(options, is_dry_run=True)
        command = queries.diff_files(client, document, is_json=is_json)
    else:
        command = _choose_command(options, client, is_json)
    return asyncio.run(command)


def _choose_command(options, client, is_json):
    if options["get"]:
        kind = options["KIND"] or ""
        name = options["NAME"] or ""
        return queries.get_records(client, kind, name, is_json=is_json)
    if options["status"]:
        return queries.show_status(client, is_json=is_json)
    if options["upstreams"]:
        return queries.show_upstreams(client, is_json=is_json)
    if options["instances"]:
        return queries.show_instances(client, is_json=is_json)
    if options["preview"]:
        return queries.preview_request(
            # The listener for metrics asks for no key.
            replace(client, key=""),
            _make_preview_request(options),
            is_json=is_json,
        )
    if options["explain"]:
        return queries.explain_request(client, options["REQUEST-ID"], is_json=is_json)
    return commands.drain_upstream(
        client,
        options["UPSTREAM"],
        is_draining=not options["--undo"],
        is_json=is_json,
    )


def _make_preview_request(options):
    parts = urlsplit(options["URL"])
    headers = {"Host": parts.netloc}
    for header in options["--header"]:
        name, separator, value = header.partition(":")
        if not separator or not name.strip():
            raise UsageError(f"--header={header}: give NAME:VALUE")
        headers[name.strip()] = value.strip()
    target = parts.path or "/"
    if parts.query:
        target += f"?{parts.query}"
    try:
        return PreviewRequest(method=options["METHOD"], target=target, headers=headers)
    except ValidationError as error:
        first_error = error.errors(include_url=False)[0]
        raise UsageError(f"{first_error['loc'][0]}: {first_error['msg']}") from error


def _make_client(options):
    return OperatorClient(
        address=options["--address"],
        key=_read_key(options["--key-file"]),
        timeout_s=_read_number(options, "--timeout", float),
        tls=_make_tls_context(options),
    )


def _make_tls_context(options):
    if not options["--ca"] and not options["--certificate"]:
        return None
    try:
        context = ssl.create_default_context(cafile=options["--ca"])
        if options["--certificate"]:
            context.load_cert_chain(options["--certificate"])
    except OSError as error:
        raise UsageError(f"--ca or --certificate: can't be loaded: {error}") from error
    return context


def _make_apply_request(options, *, is_dry_run):
    texts = _read_files(options["FILE"])
    base_revision = None
    if options["--base"] is not None:
        base_revision = _read_number(options, "--base", int)
    try:
        return ApplyRequest(
            change_id=options["--change-id"] or uuid.uuid4().hex,
            files=[FileDocument(name=name, text=text) for name, text in texts.items()],
            dry_run=is_dry_run,
            base_revision=base_revision,
        )
    except ValidationError as error:
        first_error = error.errors(include_url=False)[0]
        raise UsageError(f"{first_error['loc'][0]}: {first_error['msg']}") from error


def _read_key(path):
    if not path:
        return os.environ.get(KEY_VARIABLE, "").strip()
    try:
        return Path(path).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"--key-file={path}: can't be read: {error}") from error


def _read_files(paths):
    try:
        return {path: Path(path).read_text(encoding="utf-8") for path in paths}
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"a file can't be read: {error}") from error


def _read_number(options, name, number_type):
    try:
        number = number_type(options[name])
    except ValueError as error:
        raise UsageError(f"{name}={options[name]}: not a number") from error
    if not 0 <= number < float("inf"):
        raise UsageError(f"{name}={options[name]}: give a number of 0 or more")
    return number


if __name__ == "__main__":
    sys.exit(main())
