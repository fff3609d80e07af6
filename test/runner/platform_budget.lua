-- What the rules on repetitions (BUDGET) say of what reached the endpoints.

-- Requests that ran at more endpoints than allowed, not counting those that ended or were disturbed
-- from the run on until the request's deadline.
local function count_too_many_endpoints(records, crashed_at)
  local ran, count = {}, 0
  for _, one in ipairs(records) do
    local request = sent[one.request]
    local deadline = request and request.at + request.deadline
    if one.event == "run" and request and (crashed_at[one.process] or math.huge) > deadline and
        not disturbed(one.endpoint, deadline, deadline - one.time) then
      ran[one.request] = ran[one.request] or { count = 0 }
      local list = ran[one.request]
      if not list[one.process] then
        list[one.process] = true
        list.count = list.count + 1
        count = count + (list.count == request.attempts + 1 and 1 or 0)
      end
    end
  end
  return count
end

-- Requests that reach an endpoint with more time than their callers have left: all, those from
-- gateways in touch, and of these those that were sent once more.
local function count_too_much_time(records)
  local all, touched, again, late_sends, reached = 0, 0, 0, 0, {}
  for _, one in ipairs(records) do
    local request = sent[one.request]
    if one.event == "reach" and request then
      local is_again = reached[one.request] and one.time > reached[one.request] + time_left_slack_ms
      reached[one.request] = reached[one.request] or one.time
      late_sends = late_sends + (is_again and 1 or 0)
      local over = one.left == nil or
        one.time + one.left > request.at + request.deadline + time_left_slack_ms
      if over then
        all = all + 1
        if in_touch(request.front, one.time) then
          touched = touched + 1
          again = again + (is_again and 1 or 0)
        end
      end
    end
  end
  return { all = all, touched = touched, again = again, late_sends = late_sends }
end

-- Which gateway holds an item isn't seen from outside, so all have to be in touch.
local function all_in_touch(at)
  for _, front in ipairs(fronts) do
    if not in_touch(front, at) then return false end
  end
  return true
end

-- Runs of requests, and of items, that had crashed three endpoints longer than the time of contact
-- ago: of all and of the worst body, from gateways in touch.
local function count_late_runs(records)
  local crashes, late, worst, ends = {}, {}, 0, 0
  local total = 0
  for _, one in ipairs(records) do
    crashes[one.body] = crashes[one.body] or {}
    if one.event == "crash" then
      ends = ends + 1
      table.insert(crashes[one.body], one.time)
    elseif one.event == "reach" and crashes[one.body][3] and
        one.time > crashes[one.body][3] + contact_ms and
        (sent[one.request] and in_touch(sent[one.request].front, one.time) or
          not sent[one.request] and all_in_touch(one.time)) then
      late[one.body] = (late[one.body] or 0) + 1
      total = total + 1
      worst = math.max(worst, late[one.body])
    end
  end
  return { ends = ends, total = total, worst = worst }
end

-- Items that reach endpoints after as many failures as allowed.
local function count_failed_items(records, attempts)
  local answers, worst, over = {}, 0, 0
  for _, one in ipairs(records) do
    local status = tonumber(one.body:match("^status (%d+)"))
    if status and not sent[one.request] and one.event == "run" then
      answers[one.request] = (answers[one.request] or 0) + 1
      worst = math.max(worst, answers[one.request])
      local allowed = status == 422 and max_items_422 or max_items_500 * attempts
      over = over + (answers[one.request] == allowed + 1 and 1 or 0)
    end
  end
  return { worst = worst, over = over }
end

-- Other callers: served, sent, rejected as if they crashed endpoints; all and those sent from then on.
function count_innocents(since)
  local count = { sent = 0, served = 0, quarantined = 0, late_sent = 0, late_served = 0 }
  for _, call in ipairs(calls) do
    if call.source.innocent then
      local got = wait_ask(call.ask)
      local served = got.status == 200 and got.whole
      count.sent, count.served = count.sent + 1, count.served + (served and 1 or 0)
      count.quarantined = count.quarantined + (got.body:match("Endpoints crashed") and 1 or 0)
      if call.at >= since then
        count.late_sent, count.late_served = count.late_sent + 1, count.late_served + (served and 1 or 0)
      end
    end
  end
  return count
end

-- Counts each rule on repetitions, and prints the counts.
function count_budget(title, since)
  local records, crashed_at = read_records(), {}
  for _, one in ipairs(records) do
    if one.event == "crash" then crashed_at[one.process] = one.time end
  end
  local counts = { endpoints = count_too_many_endpoints(records, crashed_at),
    time = count_too_much_time(records), crashes = count_late_runs(records),
    items = count_failed_items(records, 3), others = count_innocents(since) }
  print(string.format("%s: ends %d, late runs %d (%d of one); more endpoints than allowed %d; " ..
    "too much time %d (%d in touch, %d again of %d); item runs %d (%d over); others served %d of %d, " ..
    "%d of %d of the second half, %d quarantined", title, counts.crashes.ends, counts.crashes.total,
    counts.crashes.worst, counts.endpoints, counts.time.all, counts.time.touched, counts.time.again,
    counts.time.late_sends, counts.items.worst, counts.items.over, counts.others.served,
    counts.others.sent, counts.others.late_served, counts.others.late_sent,
    counts.others.quarantined))
  return counts
end

-- The other callers' streams, one each `every_ms`.
function innocent_streams(every_ms)
  return { every_ms = every_ms, innocent = true, bodies = function(number) return "prompt " .. number end }
end

-- Bodies that crash endpoints in one way, told apart by their last word.
function crashing_bodies(count, way)
  local bodies = {}
  for i = 1, count do bodies[i] = way .. " body-" .. i end
  return bodies
end

-- Fails if a rule on repetitions is broken.
function expect_budget(counts)
  expect(counts.endpoints <= 3, "no more than three requests run at more endpoints than their routes " ..
    "allow, not " .. counts.endpoints)
  local time = counts.time
  expect(time.touched <= 20 or time.touched * 5 <= time.touched + time.late_sends - time.again,
    "endpoints aren't handed more time than is left: " .. time.touched)
  expect(counts.crashes.worst <= max_retries, "a request that crashed three endpoints is sent no more " ..
    "than three times later than the time of contact, not " .. counts.crashes.worst)
  expect(counts.items.over == 0, "no item is run after as many failures as allowed, not " ..
    counts.items.over)
end

-- Fails if other callers of the second half aren't served, or were ever rejected as crashing endpoints.
function expect_others_served(counts)
  local others = counts.others
  expect(others.late_served == others.late_sent, "others are served: " .. others.late_served .. " of " ..
    others.late_sent)
  expect(others.quarantined == 0, "no other request is quarantined: " .. others.quarantined)
end
