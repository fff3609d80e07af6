-- Streams whose prompts share parts, and what the rules say of parts that crash endpoints (BUDGET,
-- LOST). Times are milliseconds.

local tolerated_crashes = 5   -- under one part
local max_late_sends = 3      -- of requests with that part, later than the time of contact
local least_compared = 20     -- requests whose shares are compared
local delay_ms = 300          -- a request that begins later is delayed

local sources = 0

-- A source of streams of one caller, no two alike, with four parts in their prompts. `parts` replaces
-- the ones that they share, by position.
function prompt_streams(shape)
  sources = sources + 1
  local source, parts = sources, shape.parts or {}
  return { path = "/p/s/x", every_ms = shape.every_ms, from_ms = shape.from_ms,
    until_ms = shape.until_ms, innocent = shape.is_sound,
    bodies = function(number) return string.format("prompt %d-%d", source, number) end,
    parts = function(number)
      return string.format("%s:800,%s:410,%s:120,%x%06x:250", parts[1] or "5c1e07a2",
        parts[2] or string.format("91bd3f%02x", number % 12),
        parts[3] or string.format("e4402b%02x", number % 5), source, number)
    end }
end

function sound_prompts(shape)
  shape = shape or {}
  return prompt_streams({ every_ms = shape.every_ms or 25, parts = shape.parts, is_sound = true })
end

function bad_prompts(shape) return prompt_streams(shape) end

local function has_part(parts, id)
  return parts ~= nil and ("," .. parts):find("," .. id .. ":", 1, true) ~= nil
end

-- Requests with the part that reached endpoints, the endpoints that ended under it, and of the requests
-- those later than the time of contact after the crash that is the last one tolerated.
local function count_part(records, id)
  local count = { id = id, ends = 0, reached = 0, late = 0, late_in_touch = 0 }
  for _, one in ipairs(records) do
    if has_part(one.parts, id) then
      if one.event == "crash" then
        count.ends = count.ends + 1
        if count.ends <= tolerated_crashes then count.known_from = one.time end
      elseif one.event == "reach" then
        count.reached = count.reached + 1
        if count.ends >= tolerated_crashes and one.time > count.known_from + contact_ms then
          local request = sent[one.request]
          count.late = count.late + 1
          count.late_in_touch = count.late_in_touch +
            (request and in_touch(request.front, one.time) and 1 or 0)
        end
      end
    end
  end
  return count
end

local function count_begun(list, call, has_begun)
  local first = sent[call.id].parts:match("^%x+")
  list[first] = list[first] or { sent = 0, begun = 0 }
  list[first].sent = list[first].sent + 1
  list[first].begun = list[first].begun + (has_begun and 1 or 0)
end

-- First parts whose sound requests begin less than half as often as before.
local function find_starved(before, beside)
  local starved = {}
  for first, was in pairs(before) do
    local is = beside[first]
    if is and was.sent >= least_compared and is.sent >= least_compared and
        2 * is.begun * was.sent < was.begun * is.sent then
      starved[#starved + 1] = first
    end
  end
  return starved
end

-- Sound requests: served, rejected, failed, delayed, and those that had trouble by part; how often they
-- begin before and beside the bad ones, at gateways in touch; and those sent from `late_from` on.
local function count_sound(first_run, first_bad, last_bad, late_from)
  local count = { sent = 0, served = 0, rejected = 0, failed = 0, delayed = 0, late_sent = 0,
    late_served = 0, worst = 0, worst_part = "none" }
  local before, beside, troubles = {}, {}, {}
  for _, call in ipairs(calls) do
    if call.source.innocent then
      local got, request = wait_ask(call.ask), sent[call.id]
      local is_served = got.status == 200 and got.whole
      local is_rejected = got.whole and got.status >= 400 and got.status < 500
      local is_delayed = (first_run[call.id] or math.huge) > call.at + delay_ms
      count.sent = count.sent + 1
      count.served = count.served + (is_served and 1 or 0)
      count.rejected = count.rejected + (is_rejected and 1 or 0)
      count.failed = count.failed + (not is_served and not is_rejected and 1 or 0)
      count.delayed = count.delayed + (is_delayed and 1 or 0)
      if is_rejected or is_delayed then
        for id in request.parts:gmatch("(%x+):%d+,") do
          troubles[id] = (troubles[id] or 0) + 1
          if troubles[id] > count.worst then count.worst, count.worst_part = troubles[id], id end
        end
      end
      local has_begun = got.status == 200 and got.body ~= ""
      if in_touch(request.front, call.at) then
        if call.at < first_bad then count_begun(before, call, has_begun) end
        if call.at >= late_from and call.at <= last_bad then count_begun(beside, call, has_begun) end
      end
      local span = call.ends - call.at + contact_ms
      if call.at >= late_from and not disturbed(request.front, call.ends, span) then
        count.late_sent = count.late_sent + 1
        count.late_served = count.late_served + (is_served and 1 or 0)
      end
    end
  end
  count.starved = find_starved(before, beside)
  return count
end

-- Counts what the rules on these bad parts say, and prints the counts.
function count_parts(title, bad_ids)
  local records, first_run, parts = read_records(), {}, {}
  for _, one in ipairs(records) do
    if one.event == "run" then first_run[one.request] = first_run[one.request] or one.time end
  end
  local first_bad, last_bad, known_from = math.huge, 0, 0
  for i, id in ipairs(bad_ids) do
    parts[i] = count_part(records, id)
    known_from = math.max(known_from, parts[i].known_from or 0)
    print(string.format("%s: part %s: ends %d, reached %d, late %d, %d of these from gateways in touch",
      title, id, parts[i].ends, parts[i].reached, parts[i].late, parts[i].late_in_touch))
  end
  for _, call in ipairs(calls) do
    if call.source.parts and not call.source.innocent then
      first_bad, last_bad = math.min(first_bad, call.at), math.max(last_bad, call.at)
    end
  end
  local sound = count_sound(first_run, first_bad, last_bad, known_from + 2 * contact_ms)
  print(string.format("%s: sound: served %d of %d, rejected %d, failed %d, delayed %d; served %d of %d " ..
    "later than %d ms after the last crash tolerated; first parts that begin less than half as often %d; " ..
    "rejected or delayed at most %d of one part (%s)", title, sound.served, sound.sent, sound.rejected,
    sound.failed, sound.delayed, sound.late_served, sound.late_sent, 2 * contact_ms, #sound.starved,
    sound.worst, sound.worst_part))
  return { parts = parts, sound = sound }
end

-- Fails if a rule on parts that crash endpoints is broken, or if sound requests aren't all served
-- once such a part can be known.
function expect_parts(counts)
  for _, part in ipairs(counts.parts) do
    expect(part.ends > 0, "requests with part " .. part.id .. " reach endpoints")
    expect(part.late_in_touch <= max_late_sends, "requests with a part that crashed five endpoints " ..
      "reach endpoints no more than three times later than the time of contact, not " ..
      part.late_in_touch)
  end
  local sound = counts.sound
  expect(#sound.starved == 0, "sound requests begin half as often as before at least")
  expect(sound.late_sent > 100, "sound requests are sent once the part can be known")
  expect(sound.late_served == sound.late_sent, "sound requests are served: " .. sound.late_served ..
    " of " .. sound.late_sent)
  expect(sound.rejected == 0, "no sound request is rejected: " .. sound.rejected)
end
