-- Guards against `run: no` for a request that runs: its key is sent again, without a majority.
fleet({ keepers = 3, entries = 2, engines = 1, services = 1 })

local function send(key)
  return ask_later({ to = "entry-2", path = "/v1/services/records/digest", body = '{"n":1}',
    headers = { ["Idempotency-Key"] = key }, timeout_ms = 12000 })
end
local function expect_maybe(got, code)
  expect(got.status == 503 and got.json.error.code == code, code .. ", not " .. got.status .. got.body)
  expect(got.headers["cassia-run"] == "maybe", "no promise that it didn't run: " .. got.body)
end

ask({ to = "service-1", path = "/faults", body = "silent", key = false })
local running = ask_later({ to = "entry-1", path = "/v1/services/records/digest", body = '{"n":1}',
  headers = { ["Idempotency-Key"] = "k1" }, timeout_ms = 30000 })
eventually(3000, "the service runs it", function()
  return runs_of({ "service-1" }, "bodies", '{"n":1}') == 1
end)
freeze("keeper-2")
freeze("keeper-3")
expect_maybe(answer(send("k1")), "no_quorum")
eventually(8000, "the entry knows that it is cut off", function()
  return dump("entry-2").control.stale
end)
expect_maybe(answer(send("k1")), "stale")
local without_key = ask({ to = "entry-2", path = "/v1/services/records/digest", body = '{"n":2}' })
expect(without_key.status == 503 and without_key.headers["cassia-run"] == "no",
  "without a key it names no other transmission: " .. without_key.body)
abandon(running)
thaw("keeper-2")
thaw("keeper-3")
