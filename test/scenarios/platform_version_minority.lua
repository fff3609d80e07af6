-- Guards against a stream that goes on at another software version, where a control keeper that is cut off
-- is the only one that knows the version that began it.
local old_endpoints, new_endpoints, streams = 6, 6, 40
local span_ms, join_ms, begin_ms = 800, 40, 400
platform_fleet({ endpoints = old_endpoints, event_ms = 100, slots = 16, relayed = true })

-- The new endpoints announce themselves to control-1 alone.
local is_new, joined = {}, old_endpoints
local function join_version(version)
  for i = 1, new_endpoints do
    joined = joined + 1
    local name, ip = "endpoint-" .. joined, ip_of(14, joined)
    add_process(name, "platform-endpoint", ip, { "--name", name, "--service", "llm", "--address", ip .. ":9300",
      "--zone", "z" .. (i - 1) % 3 + 1, "--record", state_folder() .. "/" .. name .. ".record", "--slots", 16,
      "--events", 12, "--event-ms", 100, "--version", version, "--control", ip_of(11, 1) .. ":9000" })
    endpoints[#endpoints + 1], is_new[name] = name, version ~= "v1"
    start(name)
  end
end

local function begin_stream(front, id, body, more)
  local headers = { Host = "shop.example", ["X-Cassiarouter-Request-Id"] = id,
    ["X-Cassiarouter-Deadline-Ms"] = 4000 }
  for name, value in pairs(more or {}) do headers[name] = value end
  return begin_ask({ to = front_address(front), method = "POST", path = "/s/x", body = body, timeout_ms = 4000,
    headers = headers })
end

local function read_versions()
  local versions = {}
  for _, one in ipairs(read_records()) do
    if one.event == "run" then versions[one.request] = is_new[one.endpoint] and "new" or "old" end
  end
  return versions
end

-- Front-1 reaches control-1 alone; front-2 reaches the other two.
local function change_links(one_way)
  for _, other in ipairs({ "control-2", "control-3" }) do
    one_way("control-1", other); one_way(other, "control-1"); one_way("front-1", other)
  end
  one_way("front-2", "control-1")
end

-- Streams begin at front-1 and are taken up at front-2 by callers that don't name the first attempt.
-- \returns streams begun, gone on, and gone on at another version.
local function take_up(round, version)
  local began, asks = now(), {}
  change_links(hold_one_way)
  sleep(join_ms)
  join_version(version)
  sleep(began + begin_ms - now())
  for i = 1, streams do begin_stream("front-1", round .. "-first-" .. i, round .. " prompt " .. i) end
  sleep(began + span_ms - now())
  for i = 1, streams do
    asks[i] = begin_stream("front-2", round .. "-next-" .. i, round .. " prompt " .. i, { ["Last-Event-Id"] = 2 })
  end
  for i = 1, streams do wait_ask(asks[i]) end
  change_links(release_one_way)
  local versions, new, begun, gone_on, mixed = read_versions(), 0, 0, 0, 0
  for i = 1, streams do
    local first, next_one = versions[round .. "-first-" .. i], versions[round .. "-next-" .. i]
    begun, new = begun + (first and 1 or 0), new + (first == "new" and 1 or 0)
    gone_on = gone_on + (next_one and 1 or 0)
    mixed = mixed + (first and next_one and first ~= next_one and 1 or 0)
  end
  print(string.format("%s: %d begun, %d at the new version, %d went on, %d at another version", round, begun, new,
    gone_on, mixed))
  return begun, gone_on, mixed
end

local begun, gone_on = take_up("control", "v1")
expect(begun == streams, "streams begin at the gateway that is cut off: " .. begun)
expect(gone_on >= streams * 9 / 10, "with one version alone streams go on: " .. gone_on)
sleep(2 * contact_ms)
local mixed
begun, gone_on, mixed = take_up("joins", "v2")
expect(begun == streams, "streams begin while an unknown version joins: " .. begun)
expect(mixed == 0, "no stream goes on at another version: " .. mixed)
expect(gone_on >= streams * 9 / 10, "streams of the known version go on: " .. gone_on)
-- Connected again, the new version serves at all gateways.
for i = 1, 3 do
  eventually(20000, "front-" .. i .. " uses the new version", function()
    local id = "after-" .. i .. "-" .. now()
    answer(begin_request("front-" .. i, "POST", "/s/x", "after", 2000, id))
    return read_versions()[id] == "new"
  end)
end
