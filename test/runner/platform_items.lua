-- Callers of batch jobs that go on beside disturbances, and the rule on accepted items (LOST): one that
-- isn't listed is at an endpoint in time wherever an endpoint has room. Times are milliseconds.

max_idle_ms = 5000
local submit_timeout_ms = 3000
local read_interval_ms = 400

local jobs = {}
local front_turn = 0

local function next_front()
  for _ = 1, #fronts do
    front_turn = front_turn % #fronts + 1
    if is_running(fronts[front_turn]) then break end
  end
  return fronts[front_turn]
end

-- Begins to submit a job, which is submitted again until it is accepted. Items have ids JOB-NUMBER.
-- The path prefix is that of its route, /j/ unless given; `parts`: of each item's prompt.
function begin_job(id, bodies, prefix, parts)
  prefix = prefix or "/j/"
  local items = {}
  for i, body in ipairs(bodies) do
    items[i] = { id = id .. "-" .. i, path = prefix .. "x", headers = { ["X-Cassiarouter-Model"] = "m",
      ["X-Cassiarouter-Prompt-Prefix"] = parts and parts[i] }, body = to_base64(body), tokens = 10 }
  end
  jobs[#jobs + 1] = { id = id, prefix = prefix, items = items, text = encode({ items = items }), next_at = 0,
    next_result = 0, listed = {} }
end

local function is_listed(job) return job.next_result >= #job.items end

local function take_answer(job, got)
  if not job.accepted_at then
    job.accepted_at = got.status == 202 and now() or nil
    return
  end
  local page = got.status == 200 and got.whole and decode(got.body)
  if not page then return end
  for _, result in ipairs(page.results) do
    job.listed[result.id] = { at = now(), state = result.state }
  end
  job.next_result = math.max(job.next_result, page.next)
end

local function send_next(job)
  job.next_at = now() + read_interval_ms
  if not job.accepted_at then
    job.ask = begin_request(next_front(), "POST", job.prefix .. "submit", job.text,
      submit_timeout_ms, job.id)
  else
    job.ask = begin_request(next_front(), "GET", "/cassiarouter/lots/" .. job.id .. "?after=" ..
      job.next_result, "", submit_timeout_ms, job.id .. "-read")
  end
end

-- Goes on with each job as far as it can without waiting.
function poll_jobs()
  for _, job in ipairs(jobs) do
    if job.ask and is_done(job.ask) then
      take_answer(job, wait_ask(job.ask))
      job.ask = nil
    end
    if not job.ask and now() >= job.next_at and not (job.accepted_at and is_listed(job)) then
      send_next(job)
    end
  end
end

-- \returns whether all jobs were accepted and listed.
function wait_jobs(ms)
  local till = now() + ms
  while now() < till do
    poll_jobs()
    local open = false
    for _, job in ipairs(jobs) do open = open or not (job.accepted_at and is_listed(job)) end
    if not open then return true end
    sleep(10)
  end
  return false
end

-- Ends a job at all gateways; its items don't count any more.
function cancel_job(id)
  for i, job in ipairs(jobs) do
    if job.id == id then table.remove(jobs, i) break end
  end
  for _, front in ipairs(fronts) do
    answer(begin_request(front, "DELETE", "/cassiarouter/lots/" .. id, "", submit_timeout_ms, id .. "-end"))
  end
end

-- The times from and until which each item was at an endpoint, as the endpoints recorded them.
local function runs_by_item(records)
  local runs, open = {}, {}
  local function close(process, request, at)
    local run = open[process] and open[process][request]
    if run then run.till, open[process][request] = at, nil end
  end
  local events = {}
  for _, one in ipairs(records) do events[#events + 1] = one end
  for name, times in pairs(kills) do
    for _, time in ipairs(times) do
      events[#events + 1] = { time = time, event = "kill", endpoint = name }
    end
  end
  table.sort(events, function(a, b) return a.time < b.time end)
  for _, one in ipairs(events) do
    if one.event == "kill" or one.event == "crash" then
      for process, requests in pairs(open) do
        local killed = one.event == "kill" and process:find(one.endpoint .. "-", 1, true) == 1
        if process == one.process or killed then
          for request in pairs(requests) do close(process, request, one.time) end
        end
      end
    elseif one.event == "run" and not one.body:match("^status") then
      local run = { from = one.time, till = math.huge, endpoint = one.endpoint, last = one.last }
      open[one.process] = open[one.process] or {}
      open[one.process][one.request] = run
      runs[one.request] = runs[one.request] or {}
      table.insert(runs[one.request], run)
    elseif one.event == "end" or one.event == "gone" or one.event == "cut" then
      close(one.process, one.request, one.time)
    end
  end
  return runs
end

-- The longest time within a span in which no run lasted, and when it began.
local function longest_gap(runs, from, till)
  local idle_since, longest, longest_from = from, 0, from
  local function note(at)
    if at - idle_since > longest then longest, longest_from = at - idle_since, idle_since end
  end
  for _, run in ipairs(runs or {}) do
    if run.from >= till then break end
    note(run.from)
    idle_since = math.max(idle_since, run.till)
  end
  note(till)
  return longest, longest_from
end

-- Counts the items of accepted jobs, those that are listed, and those that no endpoint had for too long
-- from a time on, before they were listed; prints the counts.
function count_idle_items(title, from)
  local till = now()
  local runs = runs_by_item(read_records())
  local count = { items = 0, listed = 0, runs = 0, idle = 0, longest = 0, longest_before = 0, detail = "",
    dead = 0 }
  for _, job in ipairs(jobs) do
    for _, item in ipairs(job.accepted_at and job.items or {}) do
      local listed = job.listed[item.id]
      local ends = listed and listed.at or till
      local begins = math.max(job.accepted_at, from)
      local gap, since = longest_gap(runs[item.id], begins, ends)
      count.items = count.items + 1
      count.listed = count.listed + (listed and 1 or 0)
      count.dead = count.dead + (listed and listed.state ~= "done" and 1 or 0)
      count.runs = count.runs + #(runs[item.id] or {})
      count.longest = math.max(count.longest, gap)
      local before = longest_gap(runs[item.id], job.accepted_at, math.min(ends, from))
      count.longest_before = math.max(count.longest_before, before)
      if gap > max_idle_ms then
        count.idle = count.idle + 1
        count.detail = count.detail .. string.format("\n%s: no endpoint had it from %d on for %d",
          item.id, since, gap)
      end
    end
  end
  print(string.format("%s: items %d, listed %d (%d given up), runs %d, idle %d, longest %d (%d before)%s",
    title, count.items, count.listed, count.dead, count.runs, count.idle, count.longest,
    count.longest_before, count.detail))
  return count
end

-- By id of each item of an accepted job: when the job was accepted, when the item was listed and as what,
-- and the longest time in which no endpoint had it until then.
function item_histories()
  local till, runs, histories = now(), runs_by_item(read_records()), {}
  for _, job in ipairs(jobs) do
    for _, item in ipairs(job.accepted_at and job.items or {}) do
      local listed = job.listed[item.id]
      histories[item.id] = { accepted_at = job.accepted_at, listed_at = listed and listed.at,
        state = listed and listed.state, runs = #(runs[item.id] or {}),
        longest_gap = longest_gap(runs[item.id], job.accepted_at, listed and listed.at or till) }
    end
  end
  return histories
end

-- Counts the items that are listed, and those of them that were given up, but for some.
function count_sound_items(is_bad)
  local count = { listed = 0, given_up = 0 }
  for _, job in ipairs(jobs) do
    for id, result in pairs(job.listed) do
      if not is_bad[id] then
        count.listed = count.listed + 1
        count.given_up = count.given_up + (result.state ~= "done" and 1 or 0)
      end
    end
  end
  return count
end

-- Fails if an accepted item isn't listed, or if it wasn't at an endpoint for too long from a time on.
function expect_items_listed(title, from)
  local count = count_idle_items(title, from)
  expect(count.idle == 0, "no item goes without an endpoint for " .. max_idle_ms .. " ms: " .. count.idle)
  expect(count.listed == count.items, "all items are listed: " .. count.listed .. " of " .. count.items)
end
