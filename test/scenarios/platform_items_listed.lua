-- Guards against an accepted item that is left lying after gateways, keepers and endpoints were disturbed.
platform_fleet({ gateways = 4, endpoints = 10, services = { "llm", "other" }, event_ms = 90 })

local trouble_ms, calm_ms = 20000, 20000
local item_count = 10
local function pick(list) return list[math.random(#list)] end

local troubles = {}
local function at(time, act) troubles[#troubles + 1] = { at = time, act = act } end
local busy = {}

-- One process of a list at a time is killed or frozen, for a time.
local function disturb_one(time, list, how, length, chosen)
  local name
  at(time, function()
    if busy[list] then return end
    name = chosen or pick(list)
    if not is_running(name) then name = nil return end
    busy[list] = true
    print(string.format("%6d %s %s for %d", now(), how, name, length))
    if how == "freeze" then disturb_freeze(name) else disturb_kill(name) end
  end)
  at(time + length, function()
    if not name then return end
    busy[list] = nil
    if how == "freeze" then disturb_thaw(name) elseif list ~= endpoints then disturb_start(name) end
  end)
end

-- Endpoints freeze for a second or so and go on, some of them one after the other under the same items.
local last = trouble_ms - 1600
local time = 300
while time < last do
  disturb_one(time, endpoints, "freeze", math.random(1000, 1500))
  time = time + math.random(300, 1800)
end
time = 1500
while time < last - 6000 do
  local how = pick({ "kill", "freeze" })
  disturb_one(time, fronts, how, how == "kill" and math.random(300, 1500) or math.random(1000, 7000))
  time = time + math.random(1500, 4000)
end
disturb_one(last - 1000, fronts, pick({ "kill", "freeze" }), 1000)
-- Each work keeper is killed in turn, so the leader is.
for i, name in ipairs(works) do disturb_one(2500 + 4500 * i, works, "kill", 1200, name) end
disturb_one(math.random(4000, last - 2000), controls, "kill", 1500)

-- Items go to one service, the other one or both.
local version, change = 1, nil
local targets = { { { "llm", 1 } }, { { "other", 1 } }, { { "llm", 1 }, { "other", 2 } },
  { { "other", 1 }, { "llm", 0 } } }
local function send_configuration()
  if change and not is_done(change) then return end
  version = version + 1
  local configuration = decode(platform_configuration(version))
  for _, route in ipairs(configuration.routes) do
    if route.kind == "batch" then
      route.service, route.split, route.maxAttempts = nil, {}, math.random(3, 5)
      for i, target in ipairs(pick(targets)) do
        route.split[i] = { service = target[1], weight = target[2] }
      end
    end
  end
  local other = decode(encode(configuration.services[1]))
  other.name = "other"
  configuration.services[2] = other
  change = begin_configuration(math.random(3), encode(configuration))
end
time = 1000
while time < trouble_ms do
  at(time, send_configuration)
  time = time + math.random(700, 2500)
end

-- Jobs are submitted until the calm begins.
local number = 0
for when = 0, trouble_ms - 1, 700 do
  at(when, function()
    local bodies = {}
    for i = 1, item_count do bodies[i] = "prompt " .. number .. " " .. i end
    number = number + 1
    begin_job("job-" .. number, bodies)
  end)
end
for when = 0, trouble_ms, 20 do at(when, poll_jobs) end
table.sort(troubles, function(a, b) return a.at < b.at end)

play(trouble_ms, { { bodies = function(count) return "stream " .. count end, every_ms = 250,
  innocent = true, deadline_ms = 2000, until_ms = trouble_ms - 2000 } }, troubles)
local calm_since = now()
wait_jobs(calm_ms)
expect_items_listed("seed " .. seed, calm_since)
