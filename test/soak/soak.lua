-- A randomized soak: the real programs as separate processes under faults that come in series and
-- overlap, while callers go on. The seed decides what happens; SOAK_SECONDS how long (12).
--
-- Checked from what callers and endpoints see: answers are whole and the right ones; "not run" is
-- true; what may run once runs once; accepted jobs end with each item once and read the same again;
-- an accepted change of the lists is never gone; once all is healed everything is served again.

local run_ms = 1000 * tonumber(os.getenv("SOAK_SECONDS") or "12")
local tokens = 12
fleet({ keepers = 3, entries = 3, engines = 3, services = 2, relayed_engines = "yes",
  entry = { stale_after_ms = 2000, progress_timeout_ms = 1500 },
  engine = { token_us = 4000, max_running = 16 } })

local function pick(list) return list[math.random(#list)] end
-- Results of a job, once they can be read whole.
local function read_results(id, to)
  return eventually(10000, "results of " .. id .. " from " .. to, function()
    local got = ask({ to = to, path = "/v1/batches/" .. id .. "/results" })
    if got.status ~= 200 then return nil end
    local list = {}
    for line in got.body:gmatch("[^\n]+") do list[#list + 1] = decode(line) end
    return { list = list, body = got.body }
  end)
end
local function say(...) print(string.format("%6d", now()), ...) end

-- Faults. Each makes one thing bad and returns what makes it good again. A keeper that is lost in
-- any way keeps the other two whole: more than that may stop service, and proves nothing here.
local lost_keeper, lost_entry, lost_engine = nil, nil, nil
local function all_links(name, change)
  for _, list in ipairs({ keepers, entries }) do
    for _, other in ipairs(list) do if other ~= name then change(name, other) end end
  end
end
local function crash(name, after)
  kill(name)
  if after then after(name) end
  return function() start(name) end
end
local function pause(name)
  freeze(name)
  return function() thaw(name) end
end
local function isolate(name)
  all_links(name, cut)
  return function() all_links(name, heal) end
end
local function mute(name)
  all_links(name, cut_one_way)
  return function() all_links(name, heal_one_way) end
end
local function hush(name)
  all_links(name, silence_one_way)
  return function() end
end
local function restart(name)
  stop(name)
  return function() wait_exit(name); start(name) end
end
local function keeper_fault(how)
  return function()
    if lost_keeper then return nil end
    lost_keeper = pick(keepers)
    local undo = how(lost_keeper)
    return lost_keeper, function()
      undo()
      -- The next one may go only once this one counts again.
      local name = lost_keeper
      wait_repaired(name, 25000)
      lost_keeper = nil
    end
  end
end
local function entry_fault(how)
  return function()
    if lost_entry then return nil end
    lost_entry = pick(entries)
    local undo = how(lost_entry)
    return lost_entry, function() undo(); lost_entry = nil end
  end
end
local function engine_fault(how)
  return function()
    if lost_engine then return nil end
    lost_engine = pick(engines)
    local undo = how(lost_engine)
    return lost_engine, function() undo(); lost_engine = nil end
  end
end
local faults = {
  { "keeper killed", keeper_fault(crash) }, { "keeper paused", keeper_fault(pause) },
  { "keeper wiped", keeper_fault(function(name) return crash(name, wipe_disk) end) },
  { "keeper cut off", keeper_fault(isolate) }, { "keeper not heard", keeper_fault(mute) },
  { "keeper restarted", keeper_fault(restart) }, { "keeper's links silent", keeper_fault(hush) },
  { "entry killed", entry_fault(crash) }, { "entry paused", entry_fault(pause) },
  { "entry cut off", entry_fault(isolate) }, { "entry restarted", entry_fault(restart) },
  { "entry's links silent", entry_fault(hush) },
  { "engine killed", engine_fault(crash) }, { "engine paused", engine_fault(pause) },
  { "engine's links silent", engine_fault(function(name)
    for _, entry in ipairs(entries) do silence_one_way(entry, name) end
    return function() end
  end) },
}

-- Callers.
local open, texts, served, refused = {}, {}, 0, 0
local digests, jobs = {}, {}
local function text_of(body)
  local text = ""
  for word in body:gmatch("w%d+ ") do text = text .. word end
  return text
end
local function check_text(prompt, body, where)
  local text = text_of(body)
  local _, words = text:gsub("w%d+", "")
  expect(words == tokens, where .. ": " .. tokens .. " tokens, not " .. words)
  texts[prompt] = texts[prompt] or text
  expect(texts[prompt] == text, where .. ": the answer to its own prompt")
end
local function call_model()
  local prompt, streams = "prompt " .. math.random(20), math.random(2) == 1
  local id = ask_later(complete({ to = pick(entries), prompt = prompt, max_tokens = tokens,
    stream = streams, timeout_ms = 8000 }))
  open[#open + 1] = { id = id, check = function(got)
    if got.status ~= 200 then refused = refused + 1; return end
    if streams and not got.body:match("%[DONE%]") then return end
    served = served + 1
    check_text(prompt, got.body, "call for " .. prompt)
  end }
end
local function call_service()
  local text = '{"n":' .. #digests + 1 .. "}"
  local digest = { text = text, promised = true, served = false }
  digests[#digests + 1] = digest
  for _ = 1, math.random(2) do
    local id = ask_later({ to = pick(entries), path = "/v1/services/records/digest", body = text,
      headers = { ["Idempotency-Key"] = "key " .. text }, timeout_ms = 8000 })
    open[#open + 1] = { id = id, check = function(got)
      digest.served = digest.served or got.status == 200
      local unrun = got.status ~= 200 and got.json and got.json.error and got.json.error.run == "no"
      digest.promised = digest.promised and unrun
    end }
  end
end
local function submit_job()
  local name, count = "job " .. #jobs + 1, math.random(5, 40)
  local items = {}
  for i = 1, count do items[i] = { prompt = "prompt " .. math.random(20), max_tokens = tokens } end
  local got = submit({ to = pick(entries), name = name, items = items })
  if got.status == 202 then jobs[#jobs + 1] = { id = got.json.id, items = items } end
end
local version = 1
local function change_lists()
  local got = apply({ to = pick(entries), base = version, change_id = "change " .. version })
  if got.status == 200 then version = version + 1 end
end
local function read_answers()
  for i = #open, 1, -1 do
    if is_done(open[i].id) then
      open[i].check(answer(open[i].id))
      table.remove(open, i)
    end
  end
end

local started, next_fault, undo = now(), now() + 500, {}
while now() - started < run_ms do
  if now() >= next_fault then
    local fault = pick(faults)
    local name, heal_it = fault[2]()
    if name then
      say(fault[1], name)
      undo[#undo + 1] = { at = now() + math.random(200, 2500), name = name, heal = heal_it }
    end
    next_fault = now() + math.random(200, 1200)
  end
  for i = #undo, 1, -1 do
    if now() >= undo[i].at then
      local one = table.remove(undo, i)
      say("healed", one.name)
      one.heal()
    end
  end
  call_model()
  if math.random(4) == 1 then call_service() end
  if math.random(25) == 1 then submit_job() end
  if math.random(40) == 1 then change_lists() end
  read_answers()
  sleep(40)
end
for _, one in ipairs(undo) do one.heal() end
say("all healed")
eventually(15000, "callers get their answers", function() read_answers(); return #open == 0 end)
for _, name in ipairs(entries) do
  eventually(15000, name .. " serves", function()
    return ask(complete({ to = name, prompt = "prompt 1", max_tokens = tokens })).status == 200
  end)
end
for _, digest in ipairs(digests) do
  local runs = runs_of({ "service-1", "service-2" }, "bodies", digest.text)
  expect(runs <= 1, digest.text .. " ran " .. runs .. " times")
  expect(not digest.served or runs == 1, digest.text .. " was answered and ran")
  expect(not digest.promised or runs == 0, digest.text .. " was said not to have run")
end
for _, one in ipairs(jobs) do
  local ended = wait_ended(one.id, 60000, pick(entries))
  local first = read_results(one.id, "entry-1")
  local list = first.list
  for _, result in ipairs(list) do
    expect(result.status == "completed", one.id .. " " .. result.custom_id .. " is done, not " ..
      encode(result))
  end
  expect(ended.counts.completed == #one.items and #list == #one.items,
    one.id .. ": every item once, not " .. encode(ended))
  for _, result in ipairs(list) do
    local item = one.items[tonumber(result.custom_id:match("%d+"))]
    check_text(item.prompt, result.response.body.choices[1].text, one.id .. " " .. result.custom_id)
  end
  expect(first.body == read_results(one.id, "entry-2").body, one.id .. " reads the same again")
end
eventually(10000, "the accepted lists are in force", function()
  return dump("keeper-1").config_version >= version
end)
print(served .. " calls served, " .. refused .. " refused, " .. #digests .. " digests, " .. #jobs ..
  " jobs, lists at version " .. version)
expect(served > 0, "somebody was served")
