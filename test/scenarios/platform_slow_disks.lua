-- Guards against accepted items that are left beside idle endpoints since each lease waits for slow disks.
local jobs, per_job, job_every_ms, finish_ms = 60, 20, 100, 18000
platform_fleet({ gateways = 3, endpoints = 6, sync_delay_us = (DELAY_MS or 50) * 1000 })
local troubles = {}
for job = 1, jobs do
  local bodies = {}
  for i = 1, per_job do bodies[i] = "prompt " .. job .. " " .. i end
  troubles[#troubles + 1] = { at = job * job_every_ms, act = function() begin_job("job-" .. job, bodies) end }
end
for when = 0, jobs * job_every_ms, 50 do troubles[#troubles + 1] = { at = when, act = poll_jobs } end
table.sort(troubles, function(a, b) return a.at < b.at end)
local began = play(jobs * job_every_ms + 100, {}, troubles)
wait_jobs(finish_ms)
print(string.format("%.1f s after the first job", (now() - began) / 1000))
local count = count_idle_items("seed " .. seed, began)
expect(count.items == jobs * per_job, "all jobs are accepted: " .. count.items)
expect(count.listed == count.items, "all items are listed: " .. count.listed)
