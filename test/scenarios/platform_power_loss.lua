-- Guards against acknowledged jobs, results and configurations that are gone after all machines have lost power.
math.randomseed(seed)
local losses, job_items, job_every_ms, change_every_ms, calm_ms = LOSSES or 4, 12, 150, 200, 2500
local recover_ms = 12000
platform_fleet({ gateways = 2, endpoints = 4, sync_delay_us = 8000 })
end_bootstrap()

local jobs, version, acknowledged_version, changing, broken = {}, 1, 1, nil, 0
local next_job, next_change, next_read, turn = 0, 0, 0, 0
local function fail(text) broken = broken + 1; print(text) end

local function compare(job, page)
  if page.total ~= job_items then fail(job.id .. " has a total of " .. tostring(page.total)) end
  for i, result in ipairs(page.results) do
    local now_there = result.id .. " " .. result.state
    if job.seen[i] and job.seen[i] ~= now_there then
      fail(job.id .. " position " .. i .. ": " .. job.seen[i] .. ", then " .. now_there)
    end
    job.seen[i] = now_there
  end
  if #page.results < #job.seen then fail(job.id .. " has " .. #page.results .. " of " .. #job.seen .. " results") end
end

local function poll_job(job)
  if not job.ask or not is_done(job.ask) then return false end
  local got = answer(job.ask)
  job.ask = nil
  if not job.accepted then
    job.accepted = got.status == 202
    return job.accepted
  end
  if got.status == 404 or got.status == 410 then fail(job.id .. " is answered " .. got.status) end
  if got.status == 200 and got.whole and got.json then compare(job, got.json) end
  return false
end

-- Goes on with everything. Returns whether something was acknowledged.
local function go_on()
  local acknowledged = false
  if now() >= next_job then
    next_job = now() + job_every_ms
    jobs[#jobs + 1] = { id = string.format("job-%d-%d", seed, #jobs + 1), seen = {} }
  end
  for i, job in ipairs(jobs) do
    acknowledged = poll_job(job) or acknowledged
    turn = turn % #fronts + 1
    if not job.ask and not job.accepted then
      local items = {}
      for n = 1, job_items do
        items[n] = { id = job.id .. "-" .. n, path = "/j/x", headers = { ["X-Cassiarouter-Model"] = "m" },
          body = to_base64("item " .. i .. " " .. n), tokens = 10 }
      end
      job.ask = begin_request(fronts[turn], "POST", "/j/submit", encode({ items = items }), 1500, job.id)
    end
  end
  local job = jobs[math.random(#jobs)]
  if now() >= next_read and job.accepted and not job.ask then
    next_read = now() + 20
    job.ask = begin_request(fronts[turn], "GET", "/cassiarouter/lots/" .. job.id .. "?after=0", "", 1500,
      job.id .. "-read")
  end
  if changing and is_done(changing) then
    if answer(changing).status == 200 then acknowledged_version, acknowledged = version, true end
    changing = nil
  end
  if not changing and now() >= next_change then
    next_change = now() + change_every_ms
    if acknowledged_version == version then version = version + 1 end
    changing = begin_configuration(math.random(3), platform_configuration(version))
  end
  restart_ended()
  sleep(4)
  return acknowledged
end

local function all_processes(act)
  for _, list in ipairs({ controls, works, fronts }) do
    for _, name in ipairs(list) do act(name) end
  end
end
local function kill_all()
  all_processes(function(name) send_signal(name, 9) end)
  all_processes(function(name) wait_exit(name) end)
end

local files_back, names_back = 0, 0
local function lose_all_power(with_disk)
  kill_all()
  local wiped = with_disk and ({ controls, works })[math.random(2)][math.random(3)]
  for _, list in ipairs({ controls, works }) do
    for _, name in ipairs(list) do
      local files, names = lose_power(name, math.random(1 << 30))
      files_back, names_back = files_back + files, names_back + names
      if name == wiped then wipe_disk(name) end
    end
  end
  sleep(math.random(100, 1000))
  all_processes(start)
end

local function expect_configuration()
  local needed = acknowledged_version
  eventually(recover_ms, "the configuration is read", function()
    go_on()
    local read = read_configuration_version(math.random(3))
    if read and read < needed then fail("configuration " .. read .. " after " .. needed) end
    return read
  end)
end

for loss = 1, losses do
  local till = now() + calm_ms
  while now() < till do go_on() end
  while not go_on() do end
  -- Every second loss comes a moment after all processes were killed.
  if loss % 2 == 0 then
    kill_all()
    all_processes(start)
    sleep(math.random(30, 400))
  end
  lose_all_power(loss % 3 ~= 0)
  expect_configuration()
  local accepted = 0
  for _, job in ipairs(jobs) do accepted = accepted + (job.accepted and 1 or 0) end
  till = now() + 5000   -- a lost disk counts for so long
  while now() < till do go_on() end
end

-- At the end each accepted job lists all its items, and they don't change any more.
local function is_whole(job)
  if not job.accepted then return true end
  local got = answer(begin_request(fronts[math.random(#fronts)], "GET", "/cassiarouter/lots/" .. job.id .. "?after=0",
    "", 1500, job.id .. "-end"))
  if got.status == 404 or got.status == 410 then fail(job.id .. " is answered " .. got.status) end
  if got.status ~= 200 or not got.json then return false end
  compare(job, got.json)
  return #got.json.results == job_items
end
local accepted, left = 0, 0
local calm_till = now() + 18000
for _, job in ipairs(jobs) do
  if job.ask then abandon(job.ask) job.ask = nil end
  accepted = accepted + (job.accepted and 1 or 0)
  while not is_whole(job) and now() < calm_till do restart_ended() sleep(20) end
  if not is_whole(job) then left = left + 1 end
end
print(string.format("%d losses, %d jobs accepted, %d not listed whole; version %d; set back: %d files, %d names; %d broken",
  losses, accepted, left, acknowledged_version, files_back, names_back, broken))
expect(broken == 0, "nothing acknowledged is lost or older: " .. broken)
expect(left == 0, "each accepted job lists all its items: " .. left)
