-- Guards against a request that runs twice, or though it was refused, where troubles of many kinds
-- overlap. The seed draws them: one in four fleets is larger. PROMISES_SECONDS: how long (10).
local run_ms = 1000 * tonumber(os.getenv("PROMISES_SECONDS") or "10")
local is_large = seed % 4 == 0
local size = is_large and 3 or 1
local function pick(list) return list[math.random(#list)] end

platform_fleet({ gateways = 3 * size, endpoints = 6 * size, slots = 8, moves_runs = true, event_ms = 20,
  restart_ms = 400, endpoint_options = { "--room", "3", "--rejection-copy-percent", "40",
    "--other-copy-percent", "10", "--cut-copy-percent", "10", "--failed-copy-percent", "30",
    "--call-ms", "60" } })

local faults = { "stall 3 0", "status 503 0", "status 500 0", "reset 100 0", "reset 100 100", "lose 100 60",
  "cut 3 0", "end_before_head 0 20", "end_after_head 0 40" }
local weights = { 4, 3, 1, 4, 4, 4, 2, 0.3, 0.3 }
local function body(number)
  local draw = math.random() * 100
  for i, fault in ipairs(faults) do
    draw = draw - weights[i]
    if draw < 0 then return fault .. " " .. number end
  end
  return "prompt " .. number
end

local function every(ms) return math.max(2, ms // size) end
local sources = {
  { path = "/once/s/x", once = true, every_ms = every(32), bodies = body, deadline_ms = 3000 },
  { path = "/once/s/x", once = true, every_ms = every(120), bodies = body, deadline_ms = 600 },
  { path = "/u/x", once = true, every_ms = every(50), bodies = body, deadline_ms = 3000 },
  { path = "/s/x", every_ms = every(60), bodies = body, deadline_ms = 3000 } }
local bursts = 2
for i = 1, bursts do
  local from = math.random((i - 1) * run_ms // bursts, i * run_ms // bursts - 1500)
  table.insert(sources, { path = "/once/s/x", once = true, every_ms = every(math.random(13, 24)),
    bodies = body, deadline_ms = 3000, from_ms = from, until_ms = from + math.random(600, 1400) })
end

local busy, counts = {}, {}   -- troubles by process; how often each kind began
local postponed = {}          -- until one of their processes has no other trouble
local function is_free(name) return not busy[name] and is_running(name) end

-- Kills, stops (SIGTERM) or freezes up to so many of a list; one gateway is left as it is.
local function begin_trouble(kind, list, how, at_once, ms)
  local free = {}
  for _, name in ipairs(list) do
    if is_free(name) then table.insert(free, math.random(#free + 1), name) end
  end
  for i = 1, math.min(at_once, #free - (list == fronts and 1 or 0)) do
    local name = free[i]
    counts[kind] = (counts[kind] or 0) + 1
    busy[name] = { how = how, from = now(), till = now() + ms }
    if how == "kill" then disturb_kill(name) elseif how == "stop" then disturb_stop(name)
    else disturb_freeze(name) end
  end
  return #free > (list == fronts and 1 or 0)
end

local function count_sent(kind, front, from)
  for i = #calls, 1, -1 do
    if calls[i].at < from then return end
    counts[kind] = (counts[kind] or 0) + (sent[calls[i].id].front == front and 1 or 0)
  end
end

-- Endpoints that ended are started again by play().
local function end_troubles()
  local waiting = postponed
  postponed = {}
  for _, trouble in ipairs(waiting) do
    if not begin_trouble(table.unpack(trouble)) then table.insert(postponed, trouble) end
  end
  for name, trouble in pairs(busy) do
    local is_over = now() >= trouble.till
    if is_over and trouble.how == "freeze" then
      disturb_thaw(name)
      count_sent("requests sent to frozen gateways", name, trouble.from)
      busy[name] = nil
    elseif is_over and not is_running(name) and not name:match("^endpoint") then
      if trouble.how == "stop" then count_sent("requests sent to stopping gateways", name, trouble.from) end
      disturb_start(name)
      busy[name] = nil
    elseif is_over and trouble.how == "kill" and is_running(name) then
      busy[name] = nil
    end
  end
end

local kinds = {
  { "endpoints killed", endpoints, "kill", once = { 1, 1 }, times = 6, gap = { 80, 400 }, ms = { 100, 100 } },
  { "gateways stopped", fronts, "stop", once = { 1, 1 }, times = 3, gap = { 300, 900 }, ms = { 50, 300 } },
  { "gateways killed", fronts, "kill", once = { 1, 1 }, times = 2, gap = { 300, 1200 }, ms = { 100, 800 } },
  { "control keepers killed", controls, "kill", once = { 2, 3 }, times = 1, gap = { 0, 0 }, ms = { 200, 1200 } },
  { "work keepers killed", works, "kill", once = { 1, 3 }, times = 2, gap = { 600, 900 }, ms = { 100, 800 } },
  { "gateways frozen", fronts, "freeze", once = { 1, 1 }, times = 2, gap = { 200, 1500 }, ms = { 300, 3000 } },
  { "endpoints frozen", endpoints, "freeze", once = { 1, 3 }, times = 2, gap = { 200, 900 }, ms = { 300, 3000 } },
  { "work keepers frozen", works, "freeze", once = { 1, 2 }, times = 1, gap = { 0, 0 }, ms = { 300, 1500 } },
  { "control keepers frozen", controls, "freeze", once = { 1, 2 }, times = 1, gap = { 0, 0 }, ms = { 300, 1500 } } }

local pace = pick({ 10, 16 })   -- tenths
local troubles = {}
local function at(ms, act) table.insert(troubles, { at = ms, act = act }) end
local last_trouble = run_ms - 800
local order, begins = {}, 100
while begins < last_trouble do
  if #order == 0 then
    for _, kind in ipairs(kinds) do table.insert(order, math.random(#order + 1), kind) end
  end
  local kind = table.remove(order)
  local next_at = begins
  for _ = 1, kind.times do
    local how_many, ms = math.random(table.unpack(kind.once)), math.random(table.unpack(kind.ms))
    if next_at < last_trouble then
      local trouble = { kind[1], kind[2], kind[3], how_many, ms }
      at(next_at, function()
        if not begin_trouble(table.unpack(trouble)) then table.insert(postponed, trouble) end
      end)
    end
    next_at = next_at + math.random(table.unpack(kind.gap))
  end
  begins = begins + math.random(200, 800) * pace // 10
end

-- Each configuration has another quota and other times.
local version, accepted, configurations = 1, 0, {}
local function send_configuration()
  version = version + math.random(3)
  local configuration = decode(platform_configuration(version))
  for _, route in ipairs(configuration.routes) do
    route.timeoutMs = pick({ 3000, 5000 })
    if route.kind == "batch" then route.maxQueued = pick({ 900, 1500 }) end
  end
  for _, number in ipairs({ math.random(3), math.random(3) }) do
    table.insert(configurations, begin_configuration(number, encode(configuration)))
  end
end
eventually(10000, "a configuration with a quota is accepted", function()
  send_configuration()
  return answer(configurations[#configurations]).status == 200
end)
for ms = 0, run_ms, 700 do at(ms, send_configuration) end

-- One job in four is larger than any quota.
local last_job = 0
local function send_job()
  last_job = last_job + 1
  local bodies = {}
  for i = 1, math.random(4) == 1 and 180 or math.random(2, 12) do
    bodies[i] = pick({ "prompt ", "prompt ", "prompt ", "reset 50 50 ", "cut 3 0 " }) .. last_job .. "-" .. i
  end
  begin_quota_job("job" .. last_job, bodies, math.random(1, 4))
end
for ms = 0, run_ms - 1000, every(150) do at(ms, send_job) end

-- Which job's attempt meets a gateway in trouble depends on timing, and may be none or one beyond the
-- quota. So one goes to a gateway that is frozen until the attempt has ended without an answer. It isn't
-- counted among the troubles.
local frozen_front, unanswered_job
local function poll_unanswered_job()
  if unanswered_job then
    if frozen_front and unanswered_job.unanswered > 0 then
      disturb_thaw(frozen_front)
      busy[frozen_front], frozen_front = nil, nil
    end
    return not frozen_front
  end
  local free = {}
  for _, front in ipairs(fronts) do
    if is_free(front) then table.insert(free, front) end
  end
  if #free < 2 then return end
  frozen_front = free[1]
  busy[frozen_front] = { how = "freeze", from = now(), till = math.huge }
  disturb_freeze(frozen_front)
  unanswered_job = begin_quota_job("job-unanswered", { "prompt a", "prompt b", "prompt c" }, nil, frozen_front)
end
local function poll()
  end_troubles()
  poll_quota_jobs()
end
for ms = 0, run_ms - 1, 20 do
  at(ms, function()
    poll()
    if ms >= run_ms // 2 then poll_unanswered_job() end
  end)
end
table.sort(troubles, function(a, b) return a.at < b.at end)

play(run_ms, sources, troubles)
postponed = {}
eventually(12000, "an attempt of a job ends without an answer", function()
  poll()
  return poll_unanswered_job()
end)
for _, trouble in pairs(busy) do trouble.till = 0 end
for _, list in ipairs({ controls, works, fronts, endpoints }) do
  for _, name in ipairs(list) do
    eventually(12000, name .. " runs again", function()
      poll()
      if not busy[name] and not is_running(name) then disturb_start(name) end
      if busy[name] and name:match("^endpoint") and not is_running(name) then disturb_start(name) end
      return not busy[name] and is_running(name)
    end)
  end
end
eventually(12000, "the job without an answer is accepted", function()
  poll()
  return unanswered_job.accepted_at
end)
end_quota_jobs()
sleep(contact_ms)

for _, ask in ipairs(configurations) do accepted = accepted + (wait_ask(ask).status == 200 and 1 or 0) end
local title = "seed " .. seed .. (is_large and ", large" or "")
local online = count_promises(title)
local jobs = count_quota_jobs(title)
local events = count_events()
local function note(name, count, least)
  print(string.format("  %s %d", name, count or 0))
  expect((count or 0) >= least, "at least " .. least .. " " .. name)
end
expect_promises(online)
expect_quota_jobs(jobs)
-- Where few gateways serve, one kind of their troubles may not get its turn.
local of_gateways = 0
for _, kind in ipairs(kinds) do
  local is_gateways = kind[2] == fronts
  of_gateways = of_gateways + (is_gateways and counts[kind[1]] or 0)
  note(kind[1], counts[kind[1]], is_gateways and 0 or 1)
end
note("troubles of gateways", of_gateways, 3)
local frozen, stopping = "requests sent to frozen gateways", "requests sent to stopping gateways"
note(frozen, counts[frozen], 0)
note(stopping, counts[stopping], 0)
expect((counts[frozen] or 0) + (counts[stopping] or 0) >= 20, "at least 20 requests to these")
note("configurations", accepted, 3)
note("once refused", online.refused, 20)
note("once served", online.served, 50)
note("rejections", events.reject, 50)
note("copies of rejections", events["copy of rejection"], 10)
note("copies of successes", events["copy of response 200"], 5)
note("runs reset before the head", events.reset, 10)
note("runs whose response is lost", events.lose, 5)
note("moves", events.go_on, 1)
note("jobs accepted", jobs.accepted, 5)
note("jobs refused at each attempt", jobs.refused, 3)
note("jobs accepted behind no answer", jobs.resent, 1)
note("jobs accepted again", jobs.repeats, 1)
