-- Guards against sound items that are given up since they wait behind others that crash their endpoints.
math.randomseed(seed)
local jobs, per_job, one_bad_in = 60, 20, 7
local job_interval_ms, streams_until_ms, listed_within_ms = 100, 18000, 30000
platform_fleet({ gateways = 3, endpoints = 6, restart_ms = 300, max_wait_s = 25 })
local is_bad, bad = {}, 0
local troubles = {}
for job = 1, jobs do
  local bodies = {}
  for i = 1, per_job do
    local id = "job-" .. job .. "-" .. i
    is_bad[id] = math.random(one_bad_in) == 1
    bad = bad + (is_bad[id] and 1 or 0)
    bodies[i] = (is_bad[id] and "end_after_event 2 " or "prompt ") .. job .. " " .. i
  end
  troubles[#troubles + 1] = { at = job * job_interval_ms, act = function() begin_job("job-" .. job, bodies) end }
end
for when = 0, streams_until_ms, 50 do troubles[#troubles + 1] = { at = when, act = poll_jobs } end
table.sort(troubles, function(a, b) return a.at < b.at end)
local began = play(streams_until_ms, { { every_ms = 25, until_ms = streams_until_ms, innocent = true,
  bodies = function(number) return "stream " .. number end } }, troubles)
local count = count_sound_items(is_bad)
while count.listed < jobs * per_job - bad and now() < began + jobs * job_interval_ms + listed_within_ms do
  poll_jobs()
  restart_ended()
  sleep(10)
  count = count_sound_items(is_bad)
end
local crashes = 0
for _, one in ipairs(read_records()) do crashes = crashes + (one.event == "crash" and 1 or 0) end
print(string.format("%d items, %d bad, %d crashes; sound: %d listed after %.1f s, %d given up", jobs * per_job, bad,
  crashes, count.listed, (now() - began) / 1000, count.given_up))
expect(count.given_up == 0, "no sound item is given up: " .. count.given_up)
expect(count.listed == jobs * per_job - bad, "all sound items are listed: " .. count.listed)
