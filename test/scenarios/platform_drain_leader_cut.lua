-- Guards against gateways that send to an endpoint more than 2 s after its drain was acknowledged, when the
-- followed keeper had no quorum for a moment before (the control group's leader is cut off).
local drain_ms, cut_ms, lapse_ms, settle_ms, round_ms, rounds = 2000, 4000, 450, 100, 3570, 6
platform_fleet({ gateways = 6, endpoints = 3 + rounds, event_ms = 5 })

local function leads(control)
  local got = answer(begin_ask({ to = ip_of(11, tonumber(control:match("%d+$"))) .. ":9101",
    method = "GET", path = "/debug/dump", timeout_ms = 1000 }))
  return got.json and got.json.groups[1].leads and got.json.groups[1].may_read
end

local function leader_of(list)
  return eventually(5000, "the control group has a leader", function()
    for _, control in ipairs(list) do
      if leads(control) then return control end
    end
  end)
end

local first, rest = leader_of(controls), {}
for _, control in ipairs(controls) do
  if control ~= first then rest[#rest + 1] = control end
end

local function read_process(name)
  for _, one in ipairs(read_records()) do
    if one.endpoint == name then return one.process end
  end
end

-- The endpoint's heartbeats go on, as those that are late by another way do.
local function drain(number, control)
  local name = "endpoint-" .. number
  local born = read_process(name):match("-(%d+)$")
  local id = name .. "-" .. born
  local got = answer(begin_ask({ to = ip_of(11, tonumber(control:match("%d+$"))) .. ":9000",
    method = "POST", path = "/cassiarouter/Instances.Heartbeat/" .. id, timeout_ms = 1000,
    headers = { ["Content-Type"] = "application/json" },
    body = string.format('{"service":"llm","addr":"%s:9300","zone":"z1","version":"v1","slots":8,' ..
      '"state":"draining","coldLeftMs":0,"seq":1000000,"born":%s}', ip_of(14, number), born) }))
  return id, got.status
end

local acknowledged, troubles, other, leading = {}, { { at = 0, act = function() disturb_freeze(first) end } }
for round = 1, rounds do
  local at = cut_ms + (round - 1) * round_ms
  table.insert(troubles, { at = at, act = function()
    leading = leader_of(rest)
    other = leading == rest[1] and rest[2] or rest[1]
    freeze(other)
  end })
  table.insert(troubles, { at = at + lapse_ms, act = function() thaw(other) end })
  table.insert(troubles, { at = at + lapse_ms + settle_ms, act = function()
    local id, status = drain(round, leading)
    if status == 200 then acknowledged[id] = now() end
  end })
end

local function bodies(number) return "sound " .. number end
play(cut_ms + rounds * round_ms, { { bodies = bodies, every_ms = 10, innocent = true } }, troubles)
thaw(first)

local drains, late, latest, served, count = 0, 0, 0, 0, 0
for _ in pairs(acknowledged) do drains = drains + 1 end
for _, one in ipairs(read_records()) do
  local past = acknowledged[one.process] and one.event == "run" and one.time - acknowledged[one.process] or 0
  late, latest = late + (past > drain_ms and 1 or 0), math.max(latest, past)
end
for _, call in ipairs(calls) do
  count = count + 1
  served = served + (answer(call.ask).status == 200 and 1 or 0)
end
print(string.format("ends %d, reached late %d, latest %d ms, served %d of %d", drains,
  late, latest, served, count))
expect(drains >= rounds - 1, "drains are acknowledged, but " .. drains .. " were")
expect(late == 0, "no request over 2 s behind the acknowledgement, but " .. late .. " were")
expect(served >= 0.99 * count, "the others are served, but " .. served .. " of " .. count .. " were")
