-- A randomized soak of the platform's programs: endpoints, gateways and keepers are killed, frozen and
-- restarted in series that overlap, under requests that fail, stall and crash endpoints in every way.
-- The seed decides what happens; SOAK_SECONDS how long (20). Checked: the rules on repetitions, and that
-- each accepted item is listed, is at an endpoint or was run a short time ago at any moment (LOST).

local run_ms = 1000 * tonumber(os.getenv("SOAK_SECONDS") or "20")
local function pick(list) return list[math.random(#list)] end

platform_fleet({ gateways = math.random(2, 4), endpoints = math.random(8, 14) })

local ways = { "end_before_head 0 60", "end_after_head 0 40", "end_after_event 1 40",
  "end_after_event 6 5", "end_after_end 0 5", "end_after_end 0 100", "end_after_end 0 400",
  "hang 0 3000" }
local faults = { "cut 3 0", "stall 2 0", "status 500 0", "stall 1 0", "cut 1 0" }
local crashing = math.random(0, 2) > 0 and crashing_bodies(pick({ 1, 1, 2, 3, 5, 10 }), pick(ways))
local function failing(number)
  return (number % 4 == 0 and "prompt " or pick(faults) .. " ") .. number
end
local sources = { innocent_streams(30),
  { path = "/thrice/s/x", attempts = 3, every_ms = 130, bodies = failing },
  { path = "/s/x", attempts = 2, every_ms = 150, bodies = failing },
  { path = "/once/s/x", attempts = 1, every_ms = 170, bodies = failing },
  { path = "/f/x", attempts = 2, every_ms = 190, bodies = failing },
  { path = "/u/x", attempts = 3, every_ms = 210, bodies = failing } }
if crashing then
  sources[#sources + 1] = { bodies = crashing, every_ms = pick({ 30, 60, 170 }) }
end

-- One process of each list at a time is killed, frozen or stopped, for a time.
local busy = {}
local function trouble_at(at, list, how, length)
  local name
  local function begin()
    if busy[list] then return end
    name = pick(list)
    if not is_running(name) then name = nil return end
    busy[list] = true
    print(string.format("%6d %s %s for %d", at, how, name, length))
    if how == "freeze" then disturb_freeze(name)
    elseif how == "kill" then disturb_kill(name)
    else disturb_stop(name) end
  end
  local function finish()
    if not name then return end
    busy[list] = nil
    if how == "freeze" then disturb_thaw(name)
    elseif how == "stop" then wait_exit(name); disturb_start(name)
    elseif list ~= endpoints then disturb_start(name) end
  end
  return { at = at, act = begin }, { at = at + length, act = finish }
end

local only_endpoints = math.random(2) == 1
local lists = only_endpoints and { endpoints } or { endpoints, fronts, controls, works }
local troubles = {}
local at = 500
while at < run_ms - 4000 do
  local list = pick(lists)
  local how = pick(list == fronts and { "kill", "freeze", "stop" } or { "kill", "freeze" })
  local begin, finish = trouble_at(at, list, how, math.random(100, how == "freeze" and 3000 or 1500))
  troubles[#troubles + 1] = begin
  troubles[#troubles + 1] = finish
  at = at + math.random(50, 1500)
end

-- Jobs of items whose prompts share parts. With every third seed the items with one of the parts crash endpoints.
local job_every_ms, items_per_job, shared_parts = 600, 4, 10
local max_untried_ms = 20000
local bad_part = seed % 3 == 1 and seed // 3 % shared_parts
local is_bad, sent_items = {}, 0
local function begin_items(job)
  local bodies, parts = {}, {}
  for i = 1, items_per_job do
    local part = (3 * job + i * i) % shared_parts
    is_bad[string.format("job-%d-%d", job, i)] = part == bad_part
    bodies[i] = string.format("%s job-%d-%d", part == bad_part and "end_after_event 2 0" or "prompt", job, i)
    parts[i] = string.format("0abc%04x:100,c%04x%04x:250", part, job, i)
  end
  begin_job("job-" .. job, bodies, nil, parts)
  sent_items = sent_items + items_per_job
end
for when = 0, run_ms - 1, job_every_ms do
  troubles[#troubles + 1] = { at = when, act = function() begin_items(when // job_every_ms) end }
end
for when = 0, run_ms, 50 do troubles[#troubles + 1] = { at = when, act = poll_jobs } end
table.sort(troubles, function(a, b) return a.at < b.at end)

submit_items(fronts[1], "job", { "status 500 0 a", "status 422 0 b", "status 500 0 c", "prompt d",
  "end_before_head 0 20 e", "end_after_event 2 20 f" })
local began = play(run_ms, sources, troubles)
local counts = count_budget("seed " .. seed .. (only_endpoints and ", endpoints" or ", all") ..
  (crashing and ", " .. #crashing .. " x " .. crashing[1] or ""), began + run_ms / 2)
expect_budget(counts)

-- An item that is left is found only once its time is over.
local function count_items()
  local count = { items = 0, open = 0, sound_open = 0, untried = 0, given_up = 0, longest = 0 }
  for id, found in pairs(item_histories()) do
    count.items = count.items + 1
    count.open = count.open + (found.listed_at and 0 or 1)
    count.longest = math.max(count.longest, found.longest_gap)
    count.untried = count.untried + (found.longest_gap > max_untried_ms and 1 or 0)
    if not is_bad[id] then
      count.sound_open = count.sound_open + (found.listed_at and 0 or 1)
      count.given_up = count.given_up + (found.listed_at and found.state ~= "done" and 1 or 0)
    end
  end
  return count
end
local till, items = now() + max_untried_ms + 1000, nil
repeat
  local next_count = now() + 1000
  while now() < next_count do
    restart_ended()
    poll_jobs()
    sleep(10)
  end
  items = count_items()
until items.items == sent_items and items.open == 0 or now() >= till
print(string.format("items %d of %d%s: open %d (sound %d), not run for long %d, longest %d; sound given up %d",
  items.items, sent_items, bad_part and ", those of a part crash endpoints" or "", items.open, items.sound_open,
  items.untried, items.longest, items.given_up))
expect(items.items == sent_items, "all jobs are accepted: " .. items.items .. " of " .. sent_items .. " items")
expect(items.untried == 0, "each item is run within " .. max_untried_ms .. " ms of its last run: " .. items.untried)
expect(items.given_up == 0, "no sound item is given up: " .. items.given_up)
