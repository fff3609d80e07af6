-- Guards against a sound item that waits for others with the same text, under which endpoints crashed.
platform_fleet({ endpoints = 12, restart_ms = 400, event_ms = 300 })

local burst_ms, calm_ms = 19000, 30000
local troubles = {}
local function at(time, act) troubles[#troubles + 1] = { at = time, act = act } end

-- Thrice five times a third of the endpoints crashes.
for _, burst in ipairs({ 5000, 11000, 17000 }) do
  for wave = 0, 4 do
    at(burst + 400 * wave, function()
      for _, name in ipairs(endpoints) do
        if is_running(name) and math.random() < 0.3 then disturb_kill(name) end
      end
    end)
  end
end
local bodies = {}
for i = 1, 20 do bodies[i] = "prompt " .. i end
for number = 1, 10 do
  at(500 * number, function() begin_job("job-" .. number, bodies) end)
end
for when = 0, burst_ms, 20 do at(when, poll_jobs) end
table.sort(troubles, function(a, b) return a.at < b.at end)

play(burst_ms, { innocent_streams(250) }, troubles)
local calm_since = now()
wait_jobs(calm_ms)
expect_items_listed("seed " .. seed, calm_since)
