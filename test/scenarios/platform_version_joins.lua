-- Guards against a stream that goes on at another software version, at a gateway that stood still while
-- endpoints of the version that began it joined.
local old_endpoints, new_endpoints, streams = 4, 4, 40
local frozen_ms, join_ms, begin_ms, kill_ms = 800, 20, 350, 650
platform_fleet({ endpoints = old_endpoints, event_ms = 100, slots = 16 })

local function join_version(version)
  local control = {}
  for i = 1, 3 do control[i] = ip_of(11, i) .. ":9000" end
  for i = old_endpoints + 1, old_endpoints + new_endpoints do
    local name, ip = "endpoint-" .. i, ip_of(14, i)
    add_process(name, "platform-endpoint", ip, { "--name", name, "--service", "llm", "--address", ip .. ":9300",
      "--zone", "z" .. (i - 1) % 3 + 1, "--record", state_folder() .. "/" .. name .. ".record", "--slots", 16,
      "--events", 12, "--event-ms", 100, "--version", version, "--control", table.unpack(control) })
    endpoints[i] = name
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

-- Versions of the endpoints that ran each request, by its id.
local function read_versions()
  local versions = {}
  for _, one in ipairs(read_records()) do
    local number = tonumber(one.endpoint:match("%d+$"))
    if one.event == "run" then versions[one.request] = number > old_endpoints and "new" or "old" end
  end
  return versions
end

-- The streams begin at front-2 while front-1 stands still. Front-2 is killed, and their callers go on at
-- front-1, without naming the attempt that began the stream. \returns streams begun at the new version, gone on, and gone on at another version.
local function take_up(round, joins)
  local began, asks = now(), {}
  disturb_freeze("front-1")
  sleep(join_ms)
  if joins then join_version("v2") end
  sleep(began + begin_ms - now())
  for i = 1, streams do begin_stream("front-2", round .. "-first-" .. i, round .. " prompt " .. i) end
  sleep(began + kill_ms - now())
  disturb_kill("front-2")
  for i = 1, streams do
    asks[i] = begin_stream("front-1", round .. "-next-" .. i, round .. " prompt " .. i,
      { ["Last-Event-Id"] = 2 })
  end
  sleep(math.max(began + frozen_ms - now(), 0))
  disturb_thaw("front-1")
  local statuses = {}
  for i = 1, streams do
    local status = wait_ask(asks[i]).status
    statuses[status] = (statuses[status] or 0) + 1
  end
  local versions, new, gone_on, mixed = read_versions(), 0, 0, 0
  for i = 1, streams do
    local first, next_one = versions[round .. "-first-" .. i], versions[round .. "-next-" .. i]
    new = new + (first == "new" and 1 or 0)
    gone_on = gone_on + (next_one and 1 or 0)
    mixed = mixed + (first and next_one and first ~= next_one and 1 or 0)
  end
  local text = ""
  for status, count in pairs(statuses) do text = text .. " " .. status .. ":" .. count end
  print(string.format("%s: %d begun at the new version, %d went on, %d at another version; answers%s", round, new,
    gone_on, mixed, text))
  return new, gone_on, mixed
end

-- One version alone: streams go on.
local _, gone_on = take_up("control", false)
expect(gone_on >= streams * 9 / 10, "with one version alone streams go on: " .. gone_on)
disturb_start("front-2")
eventually(20000, "front-2 serves", function()
  return answer(begin_request("front-2", "POST", "/s/x", "ready", 2000, "again-" .. now())).status == 200
end)
sleep(contact_ms)
local new, _, mixed = take_up("joins", true)
expect(new > 0, "streams begin at the new version")
expect(mixed == 0, "no stream goes on at another version: " .. mixed)
