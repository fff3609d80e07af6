-- Guards against requests that end without an answer in a roll of gateways: stops one after the other,
-- with SIGHUP and a configuration between them.
local SIGHUP = 1
local grace_ms, loss_slack_ms, apply_ms = 8000, 200, 2000
local early_ms = 3000       -- sent up to so long after a SIGTERM, a request may be cut in the last sixth
local event_ms = 50
local deadline_ms, timeout_ms = 4900, 8000   -- behind the last byte of a request; of a route
local deadline_slack_ms = 150
local list_ms = 5000        -- of a list, at most so much counts
local callers_count, send_every_ms = 40, 18
local calm_ms = 2500
platform_fleet({ gateways = 5, endpoints = 8, slots = 24 })

local version = 2
local configurations = {}   -- times of sending and of the end of what they may change
local keeper_turn = 0
local function begin_version(slo_ms)
  local configuration = decode(platform_configuration(version))
  -- Calls that last for seconds aren't taken for lost ones.
  for _, route in ipairs(configuration.routes) do
    if route.kind ~= "batch" then route.sloMs, route.timeoutMs = slo_ms, timeout_ms end
  end
  keeper_turn = keeper_turn % 3 + 1
  return begin_configuration(keeper_turn, encode(configuration))
end
eventually(20000, "the configuration is accepted", function()
  return answer(begin_version(2500)).status == 200
end)
sleep(apply_ms)

local front_at = {}
for _, front in ipairs(fronts) do front_at[front_address(front)] = front end

-- Callers follow lists: each keeps one for its ttlS, for three times that, or for eight times that as if
-- the directory had not answered.
local callers = {}
for i = 1, callers_count do
  local keeps = i % 3 == 0 and 8 or i % 3 == 1 and 3 or 1
  callers[i] = { keeps = keeps, list = fronts, till = 0, avoided = {} }
end
local function read_list(number)
  return begin_ask({ to = ip_of(11, number) .. ":9001", method = "GET", timeout_ms = 1000, once = true,
    path = "/cassiarouter/resolve?name=shop.example&region=region&zone=z" .. number, headers = {} })
end
local function take_list(ask)
  local got = answer(ask)
  if got.status ~= 200 or not got.json or not got.json.addrs then return nil end
  local list = {}
  for _, address in ipairs(got.json.addrs) do list[#list + 1] = front_at[address] end
  return list, math.min(got.json.ttlS * 1000, list_ms)
end
local function refresh(caller)
  if caller.ask and is_done(caller.ask) then
    local list, ttl_ms = take_list(caller.ask)
    caller.ask = nil
    if list and #list > 0 then
      caller.list, caller.till, caller.avoided = list, now() + ttl_ms * caller.keeps, {}
    end
  elseif not caller.ask and now() >= caller.till then
    caller.ask = read_list(math.random(3))
  end
end

local paths = { "/s/x", "/once/s/x", "/f/x", "/u/x" }
local asked, open = {}, {}
local function send(caller, to)
  local usable = {}
  for _, front in ipairs(caller.list) do
    if not caller.avoided[front] then usable[#usable + 1] = front end
  end
  if not to and #usable == 0 then return end
  local front, id = to or usable[math.random(#usable)], "roll-" .. #asked + 1
  local late = math.random(3) == 1 and math.random(200, 2900) or nil
  local ms = math.random(300, 4500)
  local events = ms // event_ms
  local fresh = late ~= nil or math.random(2) == 1
  local one = { id = id, at = now(), sent_at = now() + (late or 0), ms = ms, front = front, caller = caller,
    path = paths[math.random(#paths)], fresh = fresh, late = late }
  -- A request states its size, which its time follows.
  one.ask = begin_ask({ to = front_address(front), method = "POST", path = one.path, timeout_ms = deadline_ms,
    once = true, late_body_ms = late, fresh_connection = fresh,
    body = ("bulk %d %d 0 %s"):format(events, event_ms, id),
    headers = { Host = "shop.example", ["X-Cassiarouter-Request-Id"] = id, Connection = late and "close" or nil,
      ["X-Cassiarouter-Deadline-Ms"] = deadline_ms + (late or 0), ["X-Cassiarouter-Tokens"] = "1," .. events * 10 } })
  asked[#asked + 1] = one
  open[#open + 1] = one
end

local function take_answers()
  for i = #open, 1, -1 do
    local one = open[i]
    if is_done(one.ask) then
      one.ends = now()
      one.got = wait_ask(one.ask)
      -- A caller leaves out an address that failed it.
      if not one.got.whole and one.got.status == 0 then one.caller.avoided[one.front] = true end
      table.remove(open, i)
    end
  end
end

local next_send, is_sending = now(), true
local function go_on()
  while is_sending and now() >= next_send do
    next_send = next_send + send_every_ms
    send(callers[math.random(#callers)])
  end
  for _, caller in ipairs(callers) do refresh(caller) end
  take_answers()
  sleep(5)
end
local function go_on_for(ms)
  local till = now() + ms
  while now() < till do go_on() end
end
local function go_on_until(ms, message, check)
  local till = now() + ms
  while not check() do
    expect(now() < till, message)
    go_on()
  end
end

local function change_configuration(slo_ms)
  version = version + 1
  local span, ask = { from = now() }, begin_version(slo_ms)
  configurations[#configurations + 1] = span
  go_on_until(5000, "configuration " .. version .. " is accepted", function()
    if not is_done(ask) then return false end
    if wait_ask(ask).status == 200 then return true end
    ask = begin_version(slo_ms)
  end)
  span.till = now() + apply_ms + 1000
end

local stops, hang_ups = {}, {}   -- by gateway: times
for _, front in ipairs(fronts) do stops[front], hang_ups[front] = {}, {} end
local function hang_up(front)
  table.insert(hang_ups[front], now())
  send_signal(front, SIGHUP)
end
-- A list may name the gateways of its caller's zone only.
local function is_listed(front)
  for number = 1, 3 do
    local ask = read_list(number)
    while not is_done(ask) do go_on() end
    for _, listed in ipairs(take_list(ask) or {}) do
      if listed == front then return true end
    end
  end
  return false
end

local lasted = {}
local function roll(front)
  disturb_stop(front)
  local at = now()
  table.insert(stops[front], at)
  local late_sends = 0        -- of callers with old lists, whatever the others' lists say
  go_on_until(grace_ms, front .. " ends within the grace", function()
    if late_sends < 5 and now() > at + early_ms + 20 * late_sends then
      late_sends = late_sends + 1
      send(callers[math.random(#callers)], front)
    end
    return not is_running(front)
  end)
  lasted[#lasted + 1] = now() - at
  disturb_start(front)
  go_on_until(10000, front .. " is listed again", function() return is_listed(front) end)
end

go_on_for(calm_ms)
local first = math.random(#fronts)
local function nth(i) return fronts[(first + i) % #fronts + 1] end
for i = 1, 3 do
  roll(nth(i))
  go_on_for(calm_ms // 2)
  if i < 3 then
    hang_up(nth(4))
    hang_up(nth(i + 1))
    change_configuration(2500 + 100 * i)
    go_on_for(calm_ms)
  end
end
is_sending = false
go_on_until(deadline_ms + 4000, "all requests end", function() return #open == 0 end)
for _, front in ipairs(fronts) do expect(is_running(front), front .. " runs") end

local runs, ends = {}, {}
for _, record in ipairs(read_records()) do
  if record.event == "run" then runs[record.request] = (runs[record.request] or 0) + 1 end
  if record.event == "end" then ends[record.request] = record.time end
  expect(record.event ~= "crash", "no endpoint ends")
end

-- The stop of the request's gateway that it ended in, if any.
local function stop_of(one)
  for _, at in ipairs(stops[one.front]) do
    if one.ends >= at and one.at <= at + grace_ms + 1000 and one.ends <= at + grace_ms + 1000 then return at end
  end
end
-- The planned work that counts for a request that ended without its answer.
local function planned_work_of(one)
  local stop = stop_of(one)
  local last_sixth = stop and stop + grace_ms * 5 // 6
  if stop then
    local may_be_cut = runs[one.id] and one.sent_at <= stop + early_ms and one.ends >= last_sixth and
      (ends[one.id] or math.huge) >= last_sixth
    return may_be_cut and "allowed" or "stop"
  end
  for _, at in ipairs(hang_ups[one.front]) do
    if one.at <= at + apply_ms and one.ends >= at and one.ends <= at + apply_ms + deadline_ms then
      return "SIGHUP"
    end
  end
  -- Nothing is cut at other times, so that any is three times as often.
  local time = one.sent_at - one.at + deadline_ms
  for _, span in ipairs(configurations) do
    local is_beside = one.ends >= span.from and one.ends <= span.till
    if is_beside and one.ends - one.at < time * 7 // 10 then return "configuration" end
  end
  return "none"
end

local count = { served = 0, refused = 0, failed = 0, timed_out = 0, unread = 0, ran_at_stops = 0,
  kept_at_stops = 0, late_at_stops = 0, kept = 0, refused_ran = 0, twice = 0 }
local cut = { stop = 0, SIGHUP = 0, configuration = 0, allowed = 0, none = 0 }
local lines = {}
for _, one in ipairs(asked) do
  local got, ran = one.got, runs[one.id]
  if ran and stop_of(one) then
    count.ran_at_stops = count.ran_at_stops + 1
    count.kept_at_stops = count.kept_at_stops + (one.fresh and 0 or 1)
    count.late_at_stops = count.late_at_stops + (one.sent_at > stop_of(one) + early_ms and 1 or 0)
  end
  if ran and ran > 1 and (one.path:match("^/once") or one.path:match("^/u")) then count.twice = count.twice + 1 end
  if got.whole then
    local kind = got.status == 200 and "served" or got.status == 503 and "refused" or "failed"
    count[kind] = count[kind] + 1
    if kind == "refused" and ran then count.refused_ran = count.refused_ran + 1 end
  elseif got.problem == "" or one.ends >= one.sent_at + deadline_ms - deadline_slack_ms then
    count.timed_out = count.timed_out + 1
  elseif ran or one.ends > one.sent_at + loss_slack_ms then
    local work = planned_work_of(one)
    local is_kept = ran and not one.fresh and got.status == 0 and in_touch(one.front, one.ends)
    cut[work] = cut[work] + 1
    count.kept = count.kept + (is_kept and 1 or 0)
    local stop = stop_of(one)
    lines[#lines + 1] = ("%s %s at %s%s%s: %s, sent %s after the stop, lasts %d ms, cut after %d ms, %s: %s"):format(
      one.id, one.path, one.front, one.fresh and "" or ", kept connection", one.late and ", late body" or "", work,
      stop and one.sent_at - stop .. " ms" or "not", one.ms, one.ends - one.sent_at, ran and "ran" or "not run",
      got.problem)
  else
    count.unread = count.unread + 1
  end
end
print(("%d sent: served %d, refused %d, failed whole %d, timed out %d, not read %d; ended around stops and ran %d, " ..
  "over kept connections %d, sent later than 3 s %d; stops took %s ms; cut by a stop %d, a SIGHUP %d, " ..
  "beside a configuration %d, allowed %d, at other times %d; kept connections closed %d; " ..
  "refused and ran %d, ran twice %d; version %d"):format(#asked, count.served, count.refused, count.failed,
  count.timed_out, count.unread, count.ran_at_stops,
  count.kept_at_stops, count.late_at_stops, table.concat(lasted, ", "), cut.stop, cut.SIGHUP,
  cut.configuration, cut.allowed, cut.none, count.kept, count.refused_ran, count.twice, version))
for i = 1, math.min(#lines, 30) do print("  " .. lines[i]) end
expect(count.ran_at_stops >= 30, "requests run at gateways that stop: " .. count.ran_at_stops)
expect(count.kept_at_stops >= 10, "some of these over kept connections: " .. count.kept_at_stops)
expect(count.late_at_stops >= 3, "some of these late in the stop: " .. count.late_at_stops)
expect(count.served * 10 >= #asked * 9, "nine of ten requests are served: " .. count.served)
expect(count.refused_ran == 0 and count.twice == 0, "none is refused and runs, or runs twice")
expect(cut.stop == 0, "no request is cut by a stop: " .. cut.stop)
expect(cut.SIGHUP == 0, "no request is cut by a SIGHUP: " .. cut.SIGHUP)
expect(cut.configuration == 0, "no request is cut by a configuration: " .. cut.configuration)
expect(count.kept == 0, "no kept connection is closed without an answer: " .. count.kept)
