-- Guards against accepted jobs, results that were read and bodies of open items that a gateway no longer finds.
math.randomseed(seed)
local settle_ms, run_ms, open_ms, answer_ms = 1000, 36000, 9000, 1500
local job_items, job_every_ms, read_every_ms, start_ms = 12, 250, 12, 1000
platform_fleet({ gateways = 3, endpoints = 4, slots = 4, event_ms = 30, relayed = true })
end_bootstrap()

local jobs, reads = {}, {}
local accepted = {}                    -- jobs, in order of their acceptance
local cut_off, started_at = {}, {}     -- gateways; by gateway: time of its latest start
local counts = {}
local turn, next_job, next_read = 0, 0, 0
local missing, touched, bodies_missing = 0, 0, {}
local function count(what) counts[what] = (counts[what] or 0) + 1 end

-- A cut between a gateway and the work keepers leaves the gateway in touch.
local function fail(what, ask)
  local is_touched = in_touch(ask.front, now()) and now() - ask.since > settle_ms
  missing = missing + 1
  touched = touched + (is_touched and 1 or 0)
  print(string.format("%d %s: %s, %d ms after the 202 or the read%s%s%s", now(), ask.front, what,
    now() - ask.since, is_touched and ", in touch" or "", cut_off[ask.front] and ", cut off" or "",
    started_at[ask.front] and now() - started_at[ask.front] < 2 * start_ms and ", starting" or ""))
end

local function next_front()
  for _ = 1, #fronts do
    turn = turn % #fronts + 1
    if is_running(fronts[turn]) then break end
  end
  return fronts[turn]
end

local function submit(job)
  job.sent_at = now()
  job.ask = begin_request(next_front(), "POST", "/j/submit", job.text, answer_ms, job.id, nil, true, true)
end

local function add_job()
  local job = { id = string.format("job-%d-%d", seed, #jobs + 1), items = {}, bodies = {}, seen = {}, seen_at = {},
    place = {} }
  for n = 1, job_items do
    local id, body = job.id .. "-" .. n, "item " .. #jobs + 1 .. " " .. n
    job.items[n] = { id = id, path = "/j/x", headers = { ["X-Cassiarouter-Model"] = "m" }, body = to_base64(body),
      tokens = 10 }
    job.bodies[id] = body
  end
  job.text = encode({ items = job.items })
  jobs[#jobs + 1] = job
  submit(job)
end

local function begin_read(job, front, after)
  local ask = { job = job, front = front, after = after, known = #job.seen - after,
    since = job.seen_at[after + 1] or job.accepted_at }
  ask.ask = begin_request(front, "GET", "/cassiarouter/lots/" .. job.id .. "?after=" .. after, "", answer_ms,
    job.id .. "-read", nil, true, true)
  reads[#reads + 1] = ask
  return ask
end

local function begin_body(job, front, item)
  local ask = { job = job, front = front, item = item, since = job.accepted_at }
  ask.ask = begin_request(front, "GET", "/cassiarouter/items/" .. job.id .. "?id=" .. item.id, "", answer_ms,
    item.id .. "-body", nil, true, true)
  reads[#reads + 1] = ask
  return ask
end

local function compare(ask, page)
  local job = ask.job
  if page.total ~= job_items then fail(job.id .. " has a total of " .. tostring(page.total), ask) end
  if ask.known > 0 and #page.results == 0 then fail(job.id .. " has nothing at position " .. ask.after, ask) end
  if ask.is_last and #page.results < ask.known then
    fail(string.format("%s has %d of %d results", job.id, #page.results, ask.known), ask)
  end
  for i, result in ipairs(page.results) do
    local at, text = ask.after + i, result.id .. " " .. result.state .. " " .. result.text
    if job.seen[at] and job.seen[at] ~= text then fail(job.id .. " position " .. at - 1 .. " changed", ask) end
    if job.place[result.id] and job.place[result.id] ~= at then fail(result.id .. " at two positions", ask) end
    if not job.seen[at] and at == #job.seen + 1 then job.seen_at[at] = now() end
    job.seen[at], job.place[result.id] = text, at
  end
end

-- \returns whether the answer is a success.
local function take_read(ask)
  local got = answer(ask.ask)
  local kind = ask.item and "body" or "read"
  count(kind .. " " .. got.status)
  if cut_off[ask.front] then
    local is_touched = in_touch(ask.front, now()) and now() - ask.since > settle_ms
    count(kind .. " cut off " .. got.status .. (is_touched and " in touch" or ""))
  end
  if got.status == 200 or got.status == 404 or got.status == 410 then
    if started_at[ask.front] and now() - started_at[ask.front] < start_ms then
      count(kind .. " at a start " .. got.status)
    end
    if in_touch(ask.front, now()) and now() - ask.since > settle_ms then count(kind .. " in touch") end
  end
  local is_gone = got.status == 404 or got.status == 410
  if ask.item then
    if is_gone then table.insert(bodies_missing, { ask = ask, at = now(), status = got.status,
      is_touched = in_touch(ask.front, now()) and now() - ask.since > settle_ms }) end
    if got.status == 200 and got.whole and got.body ~= ask.job.bodies[ask.item.id] then
      fail(ask.item.id .. " has other bytes", ask)
    end
  elseif is_gone then
    ask.since = ask.job.accepted_at
    fail(ask.job.id .. " is answered " .. got.status, ask)
  elseif got.status == 200 and got.whole and got.json then
    compare(ask, got.json)
  end
  return got.status == 200 and got.whole
end

local function open_item(job)
  local from = math.random(job_items)
  for n = 0, job_items - 1 do
    local item = job.items[(from + n - 1) % job_items + 1]
    if not job.place[item.id] then return item end
  end
end

-- Young and old jobs, from the first position, a known one or the next.
local function read_one()
  local job = accepted[math.random(2) == 1 and math.random(#accepted) or math.max(1, #accepted - math.random(0, 30))]
  local item = math.random(3) == 1 and open_item(job)
  if item then return begin_body(job, next_front(), item) end
  begin_read(job, next_front(), math.random(3) == 1 and 0 or math.random(0, #job.seen))
end

local function take_answers()
  local left = {}
  for _, ask in ipairs(reads) do
    if is_done(ask.ask) then take_read(ask) else left[#left + 1] = ask end
  end
  reads = left
  for _, job in ipairs(jobs) do
    if job.ask and is_done(job.ask) then
      if answer(job.ask).status == 202 then
        job.accepted_at, accepted[#accepted + 1] = now(), job
      end
      job.ask = nil
    elseif not job.ask and not job.accepted_at and now() > job.sent_at + 200 then
      submit(job)
    end
  end
end

local function go_on(more)
  if more and now() >= next_job then
    next_job = now() + job_every_ms
    add_job()
  end
  take_answers()
  if #accepted > 0 and now() >= next_read then
    next_read = now() + read_every_ms
    read_one()
  end
  restart_ended()
end

-- The work group's leader, as the keepers say.
local function leader_of_work()
  for i, name in ipairs(works) do
    local got = is_running(name) and answer(begin_ask({ to = ip_of(12, i) .. ":9101", method = "GET",
      path = "/debug/dump", timeout_ms = 300 }))
    for _, group in ipairs(got and got.json and got.json.groups or {}) do
      if group.leads and group.may_read then return name end
    end
  end
end

local troubles = {}
local function later(at, act) troubles[#troubles + 1] = { at = at, act = act, order = #troubles } end
local function stop_leader(at)
  later(at, function()
    local name = leader_of_work()
    if not name then return count("no leader known") end
    add_job()
    sleep(math.random(0, 15))
    disturb_stop(name)
    count("leader stops")
  end)
end
local function restart_gateway(at, name)
  later(at, function() disturb_kill(name) end)
  later(at + math.random(100, 600), function()
    disturb_start(name)
    started_at[name] = now()
    count("gateway starts")
  end)
end
local function kill_keeper(at, name, span)
  later(at, function() disturb_kill(name); count("kills") end)
  later(at + span, function() if not is_running(name) then disturb_start(name) end end)
end
local function freeze_keeper(at, name, span)
  later(at, function() if is_running(name) then disturb_freeze(name); count("freezes") end end)
  later(at + span, function() if is_running(name) then disturb_thaw(name) end end)
end
-- What the gateway sends to the work keepers waits, what they answer, or both.
local function change_links(change, name, way)
  for _, work in ipairs(works) do
    if way ~= "answers" then change(name, work) end
    if way ~= "requests" then change(work, name) end
  end
end
local function cut_gateway(at, name, span, way)
  later(at, function()
    change_links(hold_one_way, name, way)
    cut_off[name] = true
    count("cuts of " .. way)
  end)
  later(at + span, function()
    change_links(release_one_way, name, way)
    cut_off[name] = nil
  end)
end

local first = math.random(3)
local ways = { "requests", "answers", "both" }
local function other(list, n) return list[(first + n) % 3 + 1] end
restart_gateway(500, other(fronts, 0))
stop_leader(1800 + math.random(0, 400))
restart_gateway(3200, other(fronts, 1))
stop_leader(3400 + math.random(0, 300))
cut_gateway(6000, other(fronts, 2), 7500, other(ways, 0))    -- in touch from some 7.5 s on
for n = 0, 2 do
  kill_keeper(13800 + n * 1500, other(works, n), math.random(200, 900))
  kill_keeper(14500 + n * 1500, other(controls, n), math.random(200, 600))
  freeze_keeper(18600 + n * 1500, other(works, n), math.random(150, 1000))
  freeze_keeper(19300 + n * 1500, other(controls, n), math.random(150, 700))
end
cut_gateway(22500, other(fronts, 0), 7500, other(ways, 1))   -- in touch before the leader stops
stop_leader(27500)
restart_gateway(28000, other(fronts, 1))
stop_leader(30200)
table.sort(troubles, function(a, b) return a.at < b.at or a.at == b.at and a.order < b.order end)

local began = now()
local next_trouble, ended_at = 1, {}
-- A keeper that was stopped starts again once it has ended; killed ones start by their trouble.
local function restart_stopped()
  for _, name in ipairs(works) do
    if is_running(name) then
      ended_at[name] = nil
    else
      ended_at[name] = ended_at[name] or now()
      if now() > ended_at[name] + 1000 then disturb_start(name) end
    end
  end
end
while now() < began + run_ms do
  while next_trouble <= #troubles and now() >= began + troubles[next_trouble].at do
    troubles[next_trouble].act()
    next_trouble = next_trouble + 1
  end
  restart_stopped()
  go_on(true)
  sleep(4)
end

-- At the end each accepted job is read, what had been read comes again, and what isn't listed gives its body.
local last = now() + open_ms
while #reads > 0 and now() < last do take_answers() sleep(4) end
-- \returns whether there was an answer in time; for a body, its end counts as one and is judged below.
local function read_last(begin)
  while now() < last do
    local ask, gone_before = begin(), #bodies_missing
    table.remove(reads)
    if take_read(ask) or #bodies_missing > gone_before then return true end
    sleep(20)
  end
  return false
end
local unread, bodies_unread, no_body, listed = 0, 0, 0, 0
for _, job in ipairs(accepted) do
  local is_read = read_last(function()
    local ask = begin_read(job, next_front(), 0)
    ask.is_last = true
    return ask
  end)
  unread = unread + (is_read and 0 or 1)
  listed = listed + #job.seen
  local item = open_item(job)
  local gives_body = not item or read_last(function() return begin_body(job, next_front(), item) end)
  bodies_unread = bodies_unread + (gives_body and 0 or 1)
end

-- A body is due until an endpoint has finished its item.
local finished = {}
for _, one in ipairs(read_records()) do
  if one.event == "end" then finished[one.request] = math.min(finished[one.request] or math.huge, one.time) end
end
local no_body_touched = 0
for _, one in ipairs(bodies_missing) do
  if one.at < (finished[one.ask.item.id] or math.huge) then
    no_body = no_body + 1
    no_body_touched = no_body_touched + (one.is_touched and 1 or 0)
    print(string.format("%d %s: %s has no body (%d), %d ms after the 202%s", one.at, one.ask.front,
      one.ask.item.id, one.status, one.at - one.ask.since, one.is_touched and ", in touch" or ""))
  end
end

local names = {}
for what in pairs(counts) do names[#names + 1] = what end
table.sort(names)
for i, what in ipairs(names) do names[i] = what .. ": " .. counts[what] end
print(string.format("%d jobs accepted of %d, %d of %d items listed, %d unread, %d bodies unread; not found %d " ..
  "(%d in touch), no body %d (%d in touch); %s", #accepted, #jobs, listed, #accepted * job_items, unread,
  bodies_unread, missing, touched, no_body, no_body_touched, table.concat(names, ", ")))
expect((counts["leader stops"] or 0) >= 3, "leaders are stopped")
expect((counts["read in touch"] or 0) > 0 and (counts["body in touch"] or 0) > 0, "gateways in touch answer")
expect(unread == 0, "each accepted job is read at the end, but " .. unread .. " aren't")
expect(bodies_unread == 0, "each open item is answered at the end, but " .. bodies_unread .. " aren't")
expect(missing == 0, "no job or result that was there is gone: " .. missing)
expect(no_body == 0, "each item that isn't finished gives its body, but " .. no_body .. " didn't")
