-- Guards against requests that a gateway passes on during a planned stop, although they can't end
-- before its process must, and that are then cut without an answer.
local grace_ms = 8000
local late_ms = 3000   -- after the SIGTERM; until then requests with these deadlines may end
local in_time_ms = 6000 -- after the SIGTERM; a sixth of the grace is left then, and a margin
local event_ms = 50
local deadline_ms = 4900
platform_fleet({ gateways = 3, endpoints = 8, slots = 24 })
local configuration = decode(platform_configuration(2))
-- Calls that last for seconds aren't taken for lost ones.
for _, route in ipairs(configuration.routes) do
  if route.kind ~= "batch" then route.sloMs = 2500 end
end
local turn = 0
eventually(20000, "the configuration is accepted", function()
  turn = turn % 3 + 1
  return answer(begin_configuration(turn, encode(configuration))).status == 200
end)
sleep(1000)

local paths = { "/s/x", "/once/s/x", "/f/x", "/u/x" }
local count, asked = 0, {}
-- A request states its size, which its time follows.
local function send(front, ms, path, group, late_body_ms)
  count = count + 1
  local id = "late-" .. count
  local events = ms // event_ms
  asked[#asked + 1] = { id = id, at = now() + (late_body_ms or 0), ms = ms, path = path, group = group,
    late = late_body_ms, ask = begin_ask({
    to = front_address(front), method = "POST", path = path, timeout_ms = deadline_ms, once = true,
    late_body_ms = late_body_ms, body = ("bulk %d %d 0 %s"):format(events, event_ms, id),
    fresh_connection = count % 2 == 0,
    headers = { Host = "shop.example", ["X-Cassiarouter-Request-Id"] = id,
      ["X-Cassiarouter-Deadline-Ms"] = deadline_ms, ["X-Cassiarouter-Tokens"] = "1," .. events * 10 } }) }
end
local function send_mixed(front, group, late_body_ms)
  send(front, math.random(300, 4500), paths[math.random(#paths)], group, late_body_ms)
end
-- A request whose body is complete late in the stop, and that can end in time.
local function send_short(front, since_stop_ms)
  local whole_at = math.random(math.max(since_stop_ms + 200, late_ms + 50), since_stop_ms + 2900)
  if whole_at + 300 > in_time_ms then return end
  send(front, math.random(300, in_time_ms - whole_at), paths[math.random(#paths)], "stop",
    whole_at - since_stop_ms)
end

local began = now()
while now() < began + 12000 do
  for _, front in ipairs(fronts) do send_mixed(front, "before") end
  sleep(60)
end

local stopped = fronts[1]
local ready = ip_of(13, 1) .. ":9201"
disturb_stop(stopped)
local stop_at = now()
local refused_ready, short_sent
local next_short_ms = 200
while is_running(stopped) do
  expect(now() < stop_at + grace_ms, "the process ends before the end of the grace")
  if not refused_ready and now() > stop_at + 500 then
    refused_ready = answer(begin_ask({ to = ready, method = "GET", path = "/cassiarouter/readyz", timeout_ms = 300,
      once = true })).status
  end
  if not short_sent and now() > stop_at + 3100 then
    short_sent = true
    for _, path in ipairs(paths) do send(stopped, event_ms, path, "short", 2900) end
  end
  send_mixed(stopped, "stop")
  -- New connections are refused later.
  if now() < stop_at + 3200 then send_mixed(stopped, "stop", math.random(200, 2900)) end
  if now() >= stop_at + next_short_ms and next_short_ms < 3200 then
    send_short(stopped, now() - stop_at)
    next_short_ms = next_short_ms + 100
  end
  sleep(25)
end
local lasted = now() - stop_at
sleep(500)

local runs = {}
for _, record in ipairs(read_records()) do
  if record.event == "run" then runs[record.request] = (runs[record.request] or 0) + 1 end
end
local served, rejected, failed, cut, unanswered, shorts = 0, 0, 0, {}, 0, 0
local not_served = {}   -- that could end in time; new connections are refused late in the stop
for _, one in ipairs(asked) do
  if one.group == "before" then goto continue end
  if not is_done(one.ask) then abandon(one.ask) end
  local got = answer(one.ask)
  local sent_after = one.at - stop_at
  if not got.whole and runs[one.id] then
    cut[#cut + 1] = ("%s sent after %d ms, lasts %d ms"):format(one.path, sent_after, one.ms)
  elseif not got.whole then
    unanswered = unanswered + 1
  elseif got.status == 200 then
    if sent_after > late_ms and one.group == "stop" then served = served + 1 end
    if one.group == "short" then shorts = shorts + 1 end
  elseif got.status == 503 then
    rejected = rejected + 1
    expect(not runs[one.id], "a rejected request has not run: " .. one.id)
    expect(not one.late or got.headers["connection"] == "close", "a rejection closes its connection")
  else
    failed = failed + 1
  end
  local was_open = got.whole or one.late
  if was_open and got.status ~= 200 and sent_after + one.ms <= in_time_ms then
    not_served[#not_served + 1] = ("%s sent after %d ms, lasts %d ms: %d"):format(one.path, sent_after, one.ms, got.status)
  end
  if runs[one.id] and (one.path:match("^/once") or one.path:match("^/u")) then
    expect(runs[one.id] == 1, "runs once: " .. one.id)
  end
  ::continue::
end
print(("ended after %d ms; late served %d, shorts served %d, rejected %d, failed whole %d, " ..
  "without answer and run %d, cut %d: %s; ready %s"):format(lasted, served, shorts, rejected,
  failed, unanswered, #cut, table.concat(cut, ", "), tostring(refused_ready)))
expect(refused_ready == 503, "readiness is refused")
expect(shorts >= 3, "short requests are served at 6 s: " .. shorts .. " of 4")
expect(served >= 40, "requests that can end in time are served: " .. served)
expect(#not_served == 0, "all requests that can end in time are served, not: " .. table.concat(not_served, ", "))
expect(#cut == 0, "no request that ran is cut: " .. #cut)
