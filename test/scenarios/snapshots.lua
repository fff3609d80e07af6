-- Story: after hundreds of changes a keeper is restarted, or one that was away comes back, and
-- finds jobs without their items, results of other items, or keys that run a second time. Its log
-- was cut behind a snapshot that didn't hold everything.
fleet({ keepers = 3, entries = 2, engines = 1, services = 1,
  keeper = { snapshot_records = 100, segment_mib = 1 } })

local first = submit({ name = "first", items = many(40, "first") })
wait_ended(first.json.id, 20000)
local _, before = results(first.json.id)
kill("keeper-3")
local large = string.rep("x", 20000)
local sent = {}
for i = 1, 240 do
  local key = "k" .. i
  sent[i] = { key = key, id = ask_later({ to = "entry-" .. (i % 2 + 1), body = large .. i,
    path = "/v1/services/records/digest", headers = { ["Idempotency-Key"] = key } }) }
  if i % 20 == 0 then for n = i - 19, i do answer(sent[n].id) end end
end
local function snapshots(name)
  local _, count = log_of(name):gsub("event=snapshot_written", "")
  return count
end
eventually(5000, "snapshots are written", function() return snapshots("keeper-1") >= 3 end)

-- One that was away gets a snapshot; one with its disk reads its own.
start("keeper-3")
eventually(15000, "keeper-3 has caught up", function()
  for number = 0, 2 do
    local chief = leader(keepers, number)
    local group = chief and group_of(chief, number)
    local own = group_of("keeper-3", number)
    if not group or not own or own.applied < group.commit then return false end
  end
  return true
end)
kill("keeper-1")
kill("keeper-2")
local restarted = now()
start("keeper-2")
eventually(10000, "the two agree", function()
  local list, text = results(first.json.id)
  return text == before
end)
print("serves again " .. now() - restarted .. " ms after the restart")
for i = 1, 240, 17 do
  local again = ask({ to = "entry-1", body = large .. i, path = "/v1/services/records/digest",
    headers = { ["Idempotency-Key"] = "k" .. i } })
  expect(again.status == 200 and again.headers["cassia-replayed"] == "true",
    "key " .. i .. " replays, not " .. again.status .. again.body:sub(1, 100))
  expect(again.json.echo == large .. i, "key " .. i .. " gets its own answer")
end
for i = 1, 240 do
  expect(runs_of({ "service-1" }, "bodies", large .. i) == 1, "call " .. i .. " ran once")
end
