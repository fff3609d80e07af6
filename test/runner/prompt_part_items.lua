-- Items of jobs whose prompts share parts, beside streams, while some parts or items crash endpoints, and
-- what is owed to those that wait (LOST). Times are milliseconds.

local shared_parts, skew = 10, 0.7   -- of the prompts; the first parts are more frequent
local max_untried_ms = 20000         -- an item that isn't listed is run within this time of its last run
local max_recovery_ms = 5000         -- from the last crash of a part until sound work with it is done
local items_per_job = 10
local min_accepted = 0.5             -- of the items sent; with fewer the checks say little

local function part_id(number) return string.format("0bad%04x", number) end

local function draw_part()
  local sum, weights = 0, {}
  for i = 1, shared_parts do
    weights[i] = i ^ -skew
    sum = sum + weights[i]
  end
  local at = math.random() * sum
  for i = 1, shared_parts do
    at = at - weights[i]
    if at <= 0 then return i end
  end
  return shared_parts
end

local items, switch = {}, nil

-- The file whose presence makes the bad parts crash endpoints.
function bad_part_switch()
  switch = state_folder() .. "/parts-are-bad"
  return switch
end
local function turn_parts(bad)
  if bad then assert(io.open(switch, "w")):close() else os.remove(switch) end
end

-- The options of endpoints where these parts crash a run after its second event while the switch is on.
function bad_part_fleet(shape, numbers)
  shape.bad_parts, shape.endpoint_options = {}, { "--bad-while", bad_part_switch() }
  for _, number in ipairs(numbers) do shape.bad_parts[part_id(number)] = "end_after_event 2" end
  return shape
end

local function add_job(job, count, is_bad)
  local bodies, parts = {}, {}
  for i = 1, count do
    local number = draw_part()
    local bad = is_bad ~= nil and is_bad(job, number)
    local id = string.format("job-%d-%d", job, i)
    bodies[i] = string.format("%s %d %d", bad and "end_after_event 2" or "prompt 1", job, i)
    parts[i] = string.format("%s:100,c%04x%04x:250", part_id(number), job, i)
    items[id] = { part = number, is_bad = bad }
  end
  begin_job("job-" .. job, bodies, nil, parts)
end

-- Streams that share the items' parts.
function part_streams(shape)
  shape.path, shape.every_ms, shape.innocent = "/p/s/x", shape.every_ms or 25, true
  shape.bodies = function(number) return "stream " .. number end
  shape.numbers = {}
  shape.parts = function(number)
    shape.numbers[number] = draw_part()
    return string.format("%s:100,d%08x:250", part_id(shape.numbers[number]), number)
  end
  return shape
end

-- Submits `items` in jobs for `jobs_ms`, beside streams, and goes on until `until_ms`. `is_bad(job, part)`:
-- whether the items of a job with the part crash endpoints; `bad_from_ms`, `bad_until_ms`: when bad parts do.
function play_part_items(shape)
  math.randomseed(seed)
  local troubles, jobs = {}, shape.items // items_per_job
  for job = 1, jobs do
    troubles[#troubles + 1] = { at = (job - 1) * shape.jobs_ms // jobs,
      act = function() add_job(job, items_per_job, shape.is_bad) end }
  end
  if shape.bad_until_ms then
    troubles[#troubles + 1] = { at = shape.bad_from_ms or 0, act = function() turn_parts(true) end }
    troubles[#troubles + 1] = { at = shape.bad_until_ms, act = function() turn_parts(false) end }
  end
  for when = 0, shape.until_ms, 50 do troubles[#troubles + 1] = { at = when, act = poll_jobs } end
  for _, trouble in ipairs(shape.troubles or {}) do troubles[#troubles + 1] = trouble end
  table.sort(troubles, function(a, b) return a.at < b.at end)
  return play(shape.until_ms, { shape.streams or { every_ms = 25, innocent = true, until_ms = shape.jobs_ms,
    bodies = function(number) return "stream " .. number end } }, troubles)
end

local function percent(part, whole) return whole == 0 and 100 or 100 * part / whole end

-- Counts items, crashes and streams; `began` is when the play did, `recovered` when the parts were sound.
function count_part_items(title, began, recovered, bad_numbers)
  local count = { sent = 0, items = 0, open = 0, sound = 0, sound_open = 0, given_up = 0, untried = 0, longest = 0,
    late = 0, crashes = 0, last_end = 0, streams = 0, served = 0, part_streams = 0, part_served = 0 }
  local by_part = {}
  for _ in pairs(items) do count.sent = count.sent + 1 end
  for id, found in pairs(item_histories()) do
    local item = items[id]
    count.items = count.items + 1
    count.longest = math.max(count.longest, found.longest_gap)
    count.untried = count.untried + (found.longest_gap > max_untried_ms and 1 or 0)
    if not found.listed_at then
      count.open = count.open + 1
      by_part[item.part] = (by_part[item.part] or 0) + 1
    end
    if not item.is_bad then
      count.sound = count.sound + 1
      count.sound_open = count.sound_open + (found.listed_at and 0 or 1)
      count.given_up = count.given_up + (found.listed_at and found.state ~= "done" and 1 or 0)
      if recovered then
        local ends = found.listed_at or now()
        local late = ends > math.max(recovered, found.accepted_at) + max_recovery_ms
        count.late = count.late + (late and 1 or 0)
        count.last_end = math.max(count.last_end, ends - began)
      end
    end
  end
  for _, one in ipairs(read_records()) do count.crashes = count.crashes + (one.event == "crash" and 1 or 0) end
  local is_bad = {}
  for _, number in ipairs(bad_numbers or {}) do is_bad[number] = true end
  for _, call in ipairs(calls) do
    local number = sent[call.id].parts and tonumber(sent[call.id].parts:match("^0bad(%x%x%x%x)"), 16)
    local got = wait_ask(call.ask)
    local is_served = got.status == 200 and got.whole
    count.streams = count.streams + 1
    count.served = count.served + (is_served and 1 or 0)
    if recovered and is_bad[number] and call.at > recovered + max_recovery_ms then
      count.part_streams = count.part_streams + 1
      count.part_served = count.part_served + (is_served and 1 or 0)
    end
  end
  local detail = {}
  for number, left in pairs(by_part) do detail[#detail + 1] = string.format("%d of part %d", left, number) end
  print(string.format("%s: items %d, open %d (%s); sound %d, open %d, given up %d, late %d, last end %d; untried " ..
    "for long %d, longest %d; crashes %d; streams served %d of %d; with a part that was bad, from %d ms after it " ..
    "on: %d of %d", title, count.items, count.open, table.concat(detail, ", "), count.sound, count.sound_open,
    count.given_up, count.late, count.last_end, count.untried, count.longest, count.crashes, count.served,
    count.streams, max_recovery_ms, count.part_served, count.part_streams))
  return count
end

-- Fails if an item wasn't tried in time, or if a sound one was left or given up.
function expect_tried(count)
  expect(count.items >= min_accepted * count.sent, "items are accepted: " .. count.items .. " of " .. count.sent)
  expect(count.untried == 0, "each item is run within " .. max_untried_ms .. " ms of its last run: " .. count.untried)
  expect(count.sound_open == 0, "sound items are listed: " .. count.sound_open .. " aren't")
  expect(count.given_up == 0, "no sound item is given up: " .. count.given_up)
end

-- Fails if sound work with a part wasn't done soon after the part had crashed its last endpoint.
function expect_recovered(count)
  expect(count.late == 0, "items end within " .. max_recovery_ms .. " ms of their part's recovery: " .. count.late ..
    " don't")
  expect(percent(count.part_served, count.part_streams) >= 99, "streams with the part are served: " ..
    count.part_served .. " of " .. count.part_streams)
end
