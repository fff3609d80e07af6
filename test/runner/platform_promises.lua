-- What the rules on runs (REFUSED, TWICE) say of what reached the endpoints: a request that may run
-- once runs once at most, and one that was answered as not run never runs. Of jobs: no item runs if each
-- attempt was answered so, and no item is listed twice. Times are milliseconds.

local promises = { [408] = true, [421] = true, [429] = true, [503] = true }

-- Counts the rules, and prints the counts. A run that was stopped and goes on elsewhere from its copy,
-- once, is the same run.
function count_promises(title)
  local runs, stops, goes_on, rejections, copies, moves = {}, {}, {}, 0, 0, 0
  for _, one in ipairs(read_records()) do
    if one.event == "run" then runs[one.request] = (runs[one.request] or 0) + 1 end
    if one.event == "stop" then stops[one.request] = (stops[one.request] or 0) + 1 end
    if one.event == "go_on" then goes_on[one.request] = (goes_on[one.request] or 0) + 1 end
    rejections = rejections + (one.event == "reject" and 1 or 0)
    copies = copies + (one.event == "copy" and 1 or 0)
    moves = moves + (one.event == "go_on" and 1 or 0)
  end
  local count = { sent = 0, served = 0, refused = 0, ran = 0, refused_ran = 0, twice = 0, broken = {} }
  for _, call in ipairs(calls) do
    if call.source.once then
      local status = wait_ask(call.ask).status
      local times = (runs[call.id] or 0) +
        math.max((goes_on[call.id] or 0) - (stops[call.id] or 0), 0)
      count.sent = count.sent + 1
      count.ran = count.ran + (times > 0 and 1 or 0)
      count.served = count.served + (status == 200 and 1 or 0)
      count.refused = count.refused + (promises[status] and 1 or 0)
      count.twice = count.twice + (times > 1 and 1 or 0)
      if promises[status] and times > 0 then count.refused_ran = count.refused_ran + 1 end
      if times > 1 or promises[status] and times > 0 then
        table.insert(count.broken, call.id .. " at " .. sent[call.id].front .. " " .. status .. " " ..
          sent[call.id].body .. ", runs " .. times)
      end
    end
  end
  print(string.format("%s: %d rejections at endpoints, %d copies, %d runs moved; may run once: %d sent, " ..
    "%d ran, %d served, %d refused; refused and ran %d, ran twice %d", title, rejections, copies, moves,
    count.sent, count.ran, count.served, count.refused, count.refused_ran, count.twice))
  for i = 1, math.min(#count.broken, 5) do print("  " .. count.broken[i]) end
  return count
end

function expect_promises(counts)
  expect(counts.ran > 0, "requests run")
  expect(counts.refused_ran == 0, "no request that ran is answered as not run: " .. counts.refused_ran)
  expect(counts.twice == 0, "no request that may run once runs twice: " .. counts.twice)
end

local attempt_timeouts_ms = { 150, 400, 3000 }
local read_timeout_ms = 2000
local repeat_within_ms = 800
local most_attempts = 12    -- of a job that had no answer to one of them
local quota_jobs = {}
local job_front = 0

local function next_job_front()
  for _ = 1, #fronts do
    job_front = job_front % #fronts + 1
    if is_running(fronts[job_front]) then break end
  end
  return fronts[job_front]
end

-- Begins a job that is sent to one gateway after the other until it is accepted, and left after so many
-- attempts if each was answered as not taken; without a number it is never left. Some are sent again once
-- they are accepted, until they are accepted again. The first attempt may be for one gateway.
function begin_quota_job(id, bodies, attempts, first_front)
  local items = {}
  for i, body in ipairs(bodies) do
    items[i] = { id = id .. "-" .. i, path = "/j/x", headers = { ["X-Cassiarouter-Model"] = "m" },
      body = to_base64(body), tokens = 10 }
  end
  local job = { id = id, items = items, text = encode({ items = items }), next_at = 0,
    most_refused = attempts, attempts = 0, refused = {}, unanswered = 0, repeats = 0, positions = {},
    first_front = first_front }
  table.insert(quota_jobs, job)
  return job
end

local function take_attempt(job, status)
  if job.accepted_at then
    job.repeats = job.repeats + (status == 202 and 1 or 0)
    job.repeat_at = status ~= 202 and now() + math.random(50, 300)
  elseif status == 202 then
    job.accepted_at = now()
    job.repeat_at = math.random(2) == 1 and now() + math.random(0, repeat_within_ms)
  elseif promises[status] then
    table.insert(job.refused, status)
    job.next_at = now() + math.random(50, 300)
  else
    job.unanswered = job.unanswered + 1
  end
  job.is_left = job.is_left or not job.accepted_at and job.most_refused and
    (job.attempts >= most_attempts or job.unanswered == 0 and #job.refused >= job.most_refused)
end

-- Goes on with each job as far as it can without waiting.
function poll_quota_jobs(no_more)
  for _, job in ipairs(quota_jobs) do
    if job.ask and is_done(job.ask) then
      take_attempt(job, wait_ask(job.ask).status)
      job.ask = nil
    end
    local is_due = not job.accepted_at and not job.is_left and now() >= job.next_at or
      job.repeat_at and now() >= job.repeat_at
    if not job.ask and is_due and not no_more then
      if job.accepted_at then job.repeat_at = nil end
      job.attempts = job.attempts + 1
      local front, timeout_ms = job.first_front, attempt_timeouts_ms[1]
      if job.attempts > 1 or not front then
        front, timeout_ms = next_job_front(), attempt_timeouts_ms[math.random(#attempt_timeouts_ms)]
      end
      job.ask = begin_request(front, "POST", "/j/submit", job.text, timeout_ms, job.id, nil, true, true)
    end
  end
end

-- Sends no job any more, and waits for the answers that are due.
function end_quota_jobs()
  eventually(2 * attempt_timeouts_ms[#attempt_timeouts_ms], "attempts of jobs end", function()
    poll_quota_jobs(true)
    for _, job in ipairs(quota_jobs) do
      if job.ask then return false end
    end
    return true
  end)
end

-- Reads what is listed of a job at a gateway, and compares it with what was read before.
local function read_positions(job, front, count)
  local at, places = 0, {}
  while true do
    local got = answer(begin_request(front, "GET", "/cassiarouter/lots/" .. job.id .. "?after=" .. at, "",
      read_timeout_ms, job.id .. "-read"))
    if got.status ~= 200 or not got.json then count.unread = count.unread + 1 return end
    if got.json.total ~= #job.items then table.insert(count.broken, job.id .. " total " .. got.json.total) end
    for i, result in ipairs(got.json.results) do
      local place, text = at + i, result.id .. " " .. result.state .. " " .. result.text
      if places[result.id] then
        table.insert(count.broken, result.id .. " at " .. places[result.id] .. " and " .. place)
      end
      places[result.id] = place
      if job.positions[place] and job.positions[place] ~= text then
        table.insert(count.broken, job.id .. " " .. place .. " changed")
      end
      job.positions[place] = text
    end
    if got.json.next == at or #got.json.results == 0 then return end
    at = got.json.next
  end
end

-- Counts the rules on jobs, and prints the counts. Each accepted job is read at two gateways.
function count_quota_jobs(title)
  local ran = {}
  for _, one in ipairs(read_records()) do
    if one.event == "run" or one.event == "go_on" then ran[one.request] = (ran[one.request] or 0) + 1 end
  end
  local count = { jobs = #quota_jobs, accepted = 0, refused = 0, mixed = 0, resent = 0, repeats = 0, open = 0,
    over_quota = 0, unavailable = 0, item_runs = 0, listed = 0, items = 0, unread = 0, refused_ran = 0,
    broken = {} }
  for _, job in ipairs(quota_jobs) do
    local job_ran = 0
    for _, item in ipairs(job.items) do job_ran = job_ran + (ran[item.id] or 0) end
    count.item_runs, count.repeats = count.item_runs + job_ran, count.repeats + job.repeats
    for _, status in ipairs(job.refused) do
      count.over_quota = count.over_quota + (status == 429 and 1 or 0)
      count.unavailable = count.unavailable + (status == 503 and 1 or 0)
    end
    if job.accepted_at then
      count.accepted, count.items = count.accepted + 1, count.items + #job.items
      count.mixed = count.mixed + (#job.refused > 0 and 1 or 0)
      count.resent = count.resent + (job.unanswered > 0 and 1 or 0)
      for i = 1, 2 do read_positions(job, fronts[(#job.id + i) % #fronts + 1], count) end
      count.listed = count.listed + #job.positions
    elseif job.unanswered == 0 and #job.refused > 0 then
      count.refused = count.refused + 1
      if job_ran > 0 then
        count.refused_ran = count.refused_ran + 1
        table.insert(count.broken, job.id .. " refused " .. table.concat(job.refused, " ") .. ", runs " ..
          job_ran)
      end
    else
      count.open = count.open + 1
    end
  end
  print(string.format("%s: %d jobs, %d accepted (%d behind refusals, %d behind no answer, %d accepted again), " ..
    "%d refused at each attempt, %d open; %d answers 429, %d 503; %d runs of items, %d of %d listed, %d reads " ..
    "failed; refused and ran %d, broken %d", title, count.jobs, count.accepted, count.mixed, count.resent,
    count.repeats, count.refused, count.open, count.over_quota, count.unavailable, count.item_runs,
    count.listed, count.items, count.unread, count.refused_ran, #count.broken))
  for i = 1, math.min(#count.broken, 5) do print("  " .. count.broken[i]) end
  return count
end

function expect_quota_jobs(count)
  expect(count.refused_ran == 0, "no item of a refused job runs: " .. count.refused_ran)
  expect(#count.broken == 0, "each job is accepted once, and its results keep their places: " .. #count.broken)
end

-- How often each event was recorded, copies by what was repeated.
function count_events()
  local counts = {}
  for _, one in ipairs(read_records()) do
    local kind = one.event == "copy" and "copy of " .. one.body or one.event
    counts[kind] = (counts[kind] or 0) + 1
  end
  return counts
end
