"""One engine as a process of its own. Writes a line of JSON for its port, each entry and each record; a
line on its standard input is the notice of a removal, in milliseconds."""

import asyncio
import json
import sys

sys.dont_write_bytecode = True

from standins import Engine


class Lines:
    """Takes the place of the record and of the store in the engine's process."""

    def now(self):
        return 0.0

    def add(self, what, **fields):
        print(json.dumps({"record": what, "fields": fields}), flush=True)

    def put(self, _topic, _key, value):
        print(json.dumps({"entry": value.decode()}), flush=True)


async def main():
    settings = json.loads(sys.argv[1])
    lines = Lines()
    engine = Engine(lines, lines, **settings)
    await engine.listen("127.0.0.1")
    print(json.dumps({"port": engine.address[1]}), flush=True)
    asyncio.ensure_future(engine.beat())
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        engine.state, engine.notice = "draining", {"remaining-ms": int(line)}
        lines.put("keyed.servers", engine.name, engine.entry())


asyncio.run(main())
