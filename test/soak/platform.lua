-- A randomized soak of the platform's programs: endpoints, gateways and keepers are killed, frozen and
-- restarted in series that overlap, under requests that fail, stall and crash endpoints in every way.
-- The seed decides what happens; SOAK_SECONDS how long (20). Checked: the rules on repetitions.

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
table.sort(troubles, function(a, b) return a.at < b.at end)

submit_items(fronts[1], "job", { "status 500 0 a", "status 422 0 b", "status 500 0 c", "prompt d",
  "end_before_head 0 20 e", "end_after_event 2 20 f" })
local began = play(run_ms, sources, troubles)
local counts = count_budget("seed " .. seed .. (only_endpoints and ", endpoints" or ", all") ..
  (crashing and ", " .. #crashing .. " x " .. crashing[1] or ""), began + run_ms / 2)
expect_budget(counts)
