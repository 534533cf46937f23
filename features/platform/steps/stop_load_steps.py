import http.client
import random
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from features.platform.site import HOST, KEY, signal_program


def send_until_closed(site, end_s):
    """Send requests on kept connections, and connect anew until a time.

    Return the errors of those that were sent and got no response, and how many got one.
    """
    connection = None
    cut_off, served = [], 0
    while True:
        if connection is None:
            if time.monotonic() > end_s:
                break
            connection = http.client.HTTPConnection(site.host, 8000, timeout=5.0)
            try:
                connection.connect()
            except OSError:
                # The listener is closed.
                break
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"{random.getrandbits(64):016x}",
            "Authorization": f"Bearer {KEY}",
        }
        try:
            connection.request("GET", "/read/x", headers=headers)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException) as error:
            cut_off.append((time.monotonic() - end_s, repr(error)))
            connection.close()
            connection = None
            continue
        served += 1
        if response.will_close:
            connection.close()
            connection = None
        time.sleep(random.uniform(0.0, 0.02))
    return cut_off, served


@when(
    "{count:d} callers send requests on kept connections, the program is stopped after "
    "{at_s:g} s and they connect for {longer_s:g} s longer"
)
def stop_under_load(context, count, at_s, longer_s):
    end_s = time.monotonic() + at_s + longer_s
    with ThreadPoolExecutor(count) as executor:
        work = [
            executor.submit(send_until_closed, context.site, end_s)
            for _ in range(count)
        ]
        time.sleep(at_s)
        signal_program(context.site)
        context.results = [each.result() for each in work]


@then("each request that was sent got a whole response")
def check_none_cut_off(context):
    cut_off = [error for errors, _ in context.results for error in errors]
    assert all(served > 10 for _, served in context.results), context.results
    assert not cut_off, cut_off
