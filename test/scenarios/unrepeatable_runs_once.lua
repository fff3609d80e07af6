-- Story: organisers get a digest twice. The service dies before, during or after the call, or the
-- answer is lost, and the caller sends it again through another entry with the same key.
fleet({ keepers = 3, entries = 3, engines = 1, services = 2 })

local function digest(to, text, key)
  return ask({ to = to, path = "/v1/services/records/digest", body = text,
    headers = { ["Idempotency-Key"] = key } })
end
-- The caller has its answer before its key is marked unknown on a majority, since answers are never
-- held back. Until then a resend is told that the request is in progress; nothing else may be said.
local function resend_ends_unknown(to, text, key)
  eventually(3000, "a resend of " .. key .. " is told that the outcome is unknown", function()
    local got = digest(to, text, key)
    expect(got.status == 502 or got.status == 409, "502, or 409 for now, not " .. got.status)
    if got.status == 409 then
      expect(got.json.error.code == "in_progress" and got.json.error.run == "maybe", got.body)
      return false
    end
    expect(got.json.error.code == "outcome_unknown" and got.json.error.run == "maybe", got.body)
    return true
  end)
end
local function total(text)
  return runs_of({ "service-1", "service-2" }, "bodies", text)
end

-- Answered: the same answer again, from any entry.
local first = digest("entry-1", '{"n":1}', "k1")
expect(first.status == 200, "the digest is sent, not " .. first.status .. first.body)
local second = digest("entry-2", '{"n":1}', "k1")
expect(second.body == first.body, "the resend gets the first answer")
expect(second.headers["cassia-replayed"] == "true", "it says so")
expect(digest("entry-3", '{"n":2}', "k1").status == 422, "another digest under the key is refused")
expect(total('{"n":1}') == 1 and total('{"n":2}') == 0, "it ran once")

-- The caller goes away, and both send it at once. What is told to one transmission holds for the
-- request of its key, which runs.
local calls = {}
local in_progress = 0
for i = 1, 6 do
  calls[i] = ask_later({ to = "entry-" .. (i % 3 + 1), path = "/v1/services/records/digest",
    body = '{"n":3}', headers = { ["Idempotency-Key"] = "k3" } })
end
abandon(calls[1])
for i = 2, 6 do
  local got = answer(calls[i])
  expect(got.status == 200 or got.status == 409, "run or in progress, not " .. got.status)
  if got.status == 409 then
    in_progress = in_progress + 1
    expect(got.headers["cassia-run"] == "maybe", "no promise that it didn't run: " .. got.body)
  end
end
expect(in_progress > 0, "some were told that it is in progress")
expect(total('{"n":3}') == 1, "it ran once, not " .. total('{"n":3}'))

-- The deadline passes while the service runs the call: it may have run, so it never runs again.
for _, name in ipairs({ "service-1", "service-2" }) do
  ask({ to = name, path = "/faults", body = "silent", key = false })
end
local late = ask({ to = "entry-1", path = "/v1/services/records/digest", body = '{"n":6}',
  headers = { ["Idempotency-Key"] = "k6", ["Cassia-Deadline"] = "400" } })
expect(late.status == 504 and late.json.error.run == "maybe", "late, not " .. late.status .. late.body)
for _, name in ipairs({ "service-1", "service-2" }) do
  ask({ to = name, path = "/faults", body = "none", key = false })
end
resend_ends_unknown("entry-2", '{"n":6}', "k6")
expect(total('{"n":6}') == 1, "it ran once, not " .. total('{"n":6}'))

-- The service dies after it ran the call.
ask({ to = "service-1", path = "/faults", body = "die_after", key = false })
ask({ to = "service-2", path = "/faults", body = "die_after", key = false })
local lost = digest("entry-1", '{"n":4}', "k4")
expect(lost.status == 502, "the outcome is unknown, not " .. lost.status .. lost.body)
expect(lost.json.error.code == "outcome_unknown" and lost.json.error.run == "maybe", "it says so")
resend_ends_unknown("entry-2", '{"n":4}', "k4")
local survivor = is_running("service-1") and "service-1" or "service-2"
expect(runs_of({ survivor }, "bodies", '{"n":4}') == 0, "the other service never saw it")

-- Nobody left to run it: a promise that it didn't run.
kill(survivor)
sleep(3300)
local refused = digest("entry-3", '{"n":5}', "k5")
expect(refused.status == 503 and refused.json.error.run == "no", "not run, not " .. refused.status)
expect(refused.headers["retry-after"] ~= nil, "it says when to come back")
start("service-1")
eventually(5000, "the service is back", function()
  return digest("entry-3", '{"n":5}', "k5").status == 200
end)
expect(total('{"n":5}') == 1, "it ran once")
