-- Guards against acknowledged jobs, results and configurations that are gone after all machines have lost power.
-- Variants set `power_loss` and load this file.
math.randomseed(seed)
local plan = power_loss or { losses = 4, calm_ms = 2500, tolerated = 1,
  moment = function() return { "job", "configuration" } end,
  disks = function(loss) return loss % 3 ~= 0 and 1 or 0 end,
  is_killed_before = function(loss) return loss % 2 == 0 end,
  loses_all_unsynced = function() return false end }
local job_items, job_every_ms, change_every_ms = 12, 150, 200
local recover_ms, cancel_ms, end_every, end_delay_ms = 12000, 3000, 4, 300
platform_fleet({ gateways = 2, endpoints = 4, sync_delay_us = 8000, tolerated = plan.tolerated })
end_bootstrap()

local jobs, version, acknowledged_version, changing, broken = {}, 1, 1, nil, 0
local next_job, next_change, next_read, turn = 0, 0, 0, 0
local most_printed = 20
local function fail(text)
  broken = broken + 1
  if broken <= most_printed then print(text) end
end

local function compare(job, page)
  if page.total ~= job_items then fail(job.id .. " has a total of " .. tostring(page.total)) end
  for i, result in ipairs(page.results) do
    local now_there = result.id .. " " .. result.state .. " " .. result.text
    if job.seen[i] and job.seen[i] ~= now_there then
      fail(job.id .. " position " .. i .. ": " .. job.seen[i] .. ", then " .. now_there)
    end
    job.seen[i] = now_there
  end
  if #page.results < #job.seen then fail(job.id .. " has " .. #page.results .. " of " .. #job.seen .. " results") end
end

-- Takes the answer of a job's open call. Returns what it acknowledges, if anything.
local function poll_job(job)
  if not job.ask or not is_done(job.ask) then return nil end
  local got = answer(job.ask)
  job.ask = nil
  if not job.accepted then
    job.accepted = got.status == 202
    job.end_at = now() + math.random(0, end_delay_ms)
    return job.accepted and "job" or nil
  end
  if got.status == 404 or got.status == 410 then fail(job.id .. " is answered " .. got.status) end
  if job.asks_end then
    job.asks_end = false
    job.is_to_end = job.is_to_end and (got.status == 0 or got.status >= 500)
    job.ended_at = job.ended_at or got.status == 200 and now() or nil
    return got.status == 200 and "end" or nil
  end
  if got.status ~= 200 or not got.whole or not got.json then return nil end
  local seen = #job.seen
  compare(job, got.json)
  return #job.seen > seen and "read" or nil
end

local function ask_job(job, front)
  if not job.accepted then
    local items = {}
    for n = 1, job_items do
      items[n] = { id = job.id .. "-" .. n, path = "/j/x", headers = { ["X-Cassiarouter-Model"] = "m" },
        body = to_base64("item " .. job.id .. " " .. n), tokens = 10 }
    end
    job.ask = begin_request(front, "POST", "/j/submit", encode({ items = items }), 1500, job.id)
  elseif job.is_to_end and now() >= job.end_at then
    job.asks_end, job.end_was_asked = true, true
    job.ask = begin_request(front, "DELETE", "/cassiarouter/lots/" .. job.id, "", 1500, job.id .. "-end")
  end
end

-- Sends what is due and takes answers. Returns what was acknowledged, by kind: job, read, end, configuration.
local function go_on()
  local acknowledged = {}
  if now() >= next_job then
    next_job = now() + job_every_ms
    jobs[#jobs + 1] = { id = string.format("job-%d-%d", seed, #jobs + 1), seen = {},
      is_to_end = plan.ends_jobs and (#jobs + 1) % end_every == 0 }
  end
  for _, job in ipairs(jobs) do
    local kind = poll_job(job)
    if kind then acknowledged[kind] = true end
    turn = turn % #fronts + 1
    if not job.ask then ask_job(job, fronts[turn]) end
  end
  local job = jobs[math.random(#jobs)]
  if now() >= next_read and job.accepted and not job.ask then
    next_read = now() + 20
    job.ask = begin_request(fronts[turn], "GET", "/cassiarouter/lots/" .. job.id .. "?after=0", "", 1500,
      job.id .. "-read")
  end
  if changing and is_done(changing) then
    if answer(changing).status == 200 then acknowledged_version, acknowledged.configuration = version, true end
    changing = nil
  end
  if not changing and now() >= next_change then
    next_change = now() + change_every_ms
    if acknowledged_version == version then version = version + 1 end
    changing = begin_configuration(math.random(#controls), platform_configuration(version))
  end
  restart_ended()
  return acknowledged
end

local function go_on_until(kinds)
  local till = now() + recover_ms
  while now() < till do
    local acknowledged = go_on()
    for _, kind in ipairs(kinds) do
      if acknowledged[kind] then return kind end
    end
    sleep(4)
  end
  error("not within " .. recover_ms .. " ms: one is acknowledged of " .. table.concat(kinds, ", "))
end
local function go_on_for(ms)
  local till = now() + ms
  while now() < till do go_on() sleep(4) end
end

local function shuffled(list)
  local out = table.move(list, 1, #list, 1, {})
  for i = #out, 2, -1 do
    local other = math.random(i)
    out[i], out[other] = out[other], out[i]
  end
  return out
end
local keepers = table.move(works, 1, #works, #controls + 1, table.move(controls, 1, #controls, 1, {}))
local machines = table.move(fronts, 1, #fronts, #keepers + 1, table.move(keepers, 1, #keepers, 1, {}))
table.move(endpoints, 1, #endpoints, #machines + 1, machines)

local function kill_all()
  for _, name in ipairs(machines) do send_signal(name, 9) end
  for _, name in ipairs(machines) do wait_exit(name) end
end
-- In any order, with up to so much time between two.
local function start_all(most_ms)
  for _, name in ipairs(shuffled(machines)) do
    start(name)
    sleep(math.random(0, most_ms))
  end
end

-- Of one group, or of any.
local function keepers_without_disks(count)
  local lists, wiped = { controls, works, keepers }, {}
  local list = shuffled(lists[math.random(#lists)])
  for i = 1, count do wiped[list[i]] = true end
  return wiped
end

local files_back, names_back = 0, 0
local function lose_all_power(loss)
  kill_all()
  local wiped, names = keepers_without_disks(plan.disks(loss)), {}
  for _, name in ipairs(keepers) do
    local files, lost_names = lose_power(name, math.random(1 << 30), plan.loses_all_unsynced(loss))
    files_back, names_back = files_back + files, names_back + lost_names
    if wiped[name] then
      wipe_disk(name)
      names[#names + 1] = name
    end
  end
  sleep(math.random(100, 1000))
  start_all(40)
  return #names > 0 and table.concat(names, " ") or "none"
end

-- A configuration is given out in time, and no keeper gives out an older one than was acknowledged.
local function expect_configuration()
  local needed = acknowledged_version
  eventually(recover_ms, "the configuration is read", function()
    local is_read = false
    for i = 1, #controls do
      go_on()
      local read = read_configuration_version(i)
      if read and read < needed then fail("configuration " .. read .. " after " .. needed) end
      is_read = is_read or read
    end
    return is_read
  end)
end

for loss = 1, plan.losses do
  go_on_for(plan.calm_ms)
  local kind, began = go_on_until(plan.moment(loss)), now()
  if plan.is_killed_before(loss) then
    kill_all()
    start_all(0)
    sleep(math.random(30, 400))
  end
  local wiped = lose_all_power(loss)
  expect_configuration()
  print(string.format("loss %d after a %s, without disks: %s; configuration read after %d ms", loss, kind, wiped,
    now() - began))
  go_on_for(5000)   -- a lost disk counts for so long
end

-- At the end each accepted job lists all its items, and they don't change any more. One whose end was asked
-- needn't list all, but what was read.
local function is_whole(job)
  if not job.accepted then return true end
  local got = answer(begin_request(fronts[math.random(#fronts)], "GET", "/cassiarouter/lots/" .. job.id .. "?after=0",
    "", 1500, job.id .. "-end"))
  if got.status == 404 or got.status == 410 then fail(job.id .. " is answered " .. got.status) end
  if got.status ~= 200 or not got.json then return false end
  compare(job, got.json)
  return #got.json.results == job_items or job.end_was_asked
end
local accepted, left, ended = 0, 0, {}
local calm_till = now() + 18000
for _, job in ipairs(jobs) do
  if job.ask then abandon(job.ask) job.ask = nil end
  accepted = accepted + (job.accepted and 1 or 0)
  while not is_whole(job) and now() < calm_till do restart_ended() sleep(20) end
  if not is_whole(job) then left = left + 1 end
  if job.ended_at then ended[job.id] = job.ended_at end
end

local ended_jobs, ran, ran_items, late_runs = 0, {}, 0, 0
for _ in pairs(ended) do ended_jobs = ended_jobs + 1 end
for _, one in ipairs(read_records()) do
  local ended_at = ended[one.request:match("^(job%-%d+%-%d+)%-%d+$")]
  if one.event == "run" and ended_at then
    ran_items = ran_items + (ran[one.request] and 0 or 1)
    ran[one.request] = true
    late_runs = late_runs + (one.time > ended_at + cancel_ms and 1 or 0)
  end
end
print(string.format("%d losses, %d jobs accepted, %d not listed whole, %d ended (%d of %d items ran, %d later); " ..
  "version %d; set back: %d files, %d names; %d broken", plan.losses, accepted, left, ended_jobs, ran_items,
  ended_jobs * job_items, late_runs, acknowledged_version, files_back, names_back, broken))
expect(broken == 0, "nothing acknowledged is lost or older: " .. broken)
expect(left == 0, "each accepted job lists all its items: " .. left)
expect(late_runs == 0, "no item of an ended job runs: " .. late_runs)
