-- The scenario language: a dozen verbs on real processes on loopback. Times are milliseconds.

local SIGKILL, SIGTERM, SIGCONT, SIGSTOP = 9, 15, 18, 19

math.randomseed(seed)
keys = { ["team-a"] = "key-of-team-a", ["team-b"] = "key-of-team-b" }

-- SHA-256 of the two keys.
local hashes = {
  ["team-a"] = "8e47e6cea33e8ed9bbffb56c3b8400e8822a2b2cb9c9e4238f92b80c8721949c",
  ["team-b"] = "e40e454a7a747cbb931b4a756b5ffb483327d34dfa387546b5f958043e1abce5",
}

function plans(rate, teams)
  local text = ""
  for _, name in ipairs(teams or { "team-a", "team-b" }) do
    text = text .. string.format(
      '[[plan]]\nname = "%s"\nkey_sha256 = ["%s"]\nallowance = "all"\nrate = %d\n', name,
      hashes[name], rate or 5000)
  end
  return text
end

allowances = '[[allowance]]\nname = "all"\nservice = ["records"]\n[[allowance.model]]\n' ..
  'name = "model"\n[[service]]\nname = "records"\nunrepeatable_methods = ["POST"]\n'

function expect(condition, message)
  if not condition then error("expected: " .. message, 2) end
end

-- Calls `check` until it returns something true, which is returned.
function eventually(ms, message, check)
  local till = now() + ms
  while true do
    local result = check()
    if result then return result end
    if now() > till then error("not within " .. ms .. " ms: " .. message, 2) end
    sleep(50)
  end
end

local function prepared(call)
  local out = { method = call.method or (call.body or call.json) and "POST" or "GET",
    to = call.to or "entry-1", path = call.path or "/", body = call.body or "",
    headers = {}, timeout_ms = call.timeout_ms }
  for name, value in pairs(call.headers or {}) do out.headers[name] = value end
  if call.json then out.body = encode(call.json) end
  if call.key ~= false then
    out.headers["Authorization"] = "Bearer " .. (call.key or keys["team-a"])
  end
  return out
end

-- Begins a call; `answer` waits for it.
function ask_later(call) return begin_ask(prepared(call)) end

function answer(id)
  local got = wait_ask(id)
  got.json = got.body ~= "" and decode(got.body) or nil
  return got
end

function ask(call) return answer(ask_later(call)) end

function operator(call)
  call.key = "scenario-operator-token"
  return ask(call)
end

function complete(call)
  return { to = call.to, path = "/v1/completions", headers = call.headers,
    timeout_ms = call.timeout_ms, key = call.key,
    json = { model = "model", prompt = call.prompt, max_tokens = call.max_tokens or 4,
      stream = call.stream or false } }
end

-- With a limit, writes that make a file larger fail, as on a full disk.
function start(name, most_file_bytes) start_process(name, most_file_bytes) end
function kill(name) send_signal(name, SIGKILL); wait_exit(name) end
function stop(name) send_signal(name, SIGTERM) end
function freeze(name) send_signal(name, SIGSTOP) end
function thaw(name) send_signal(name, SIGCONT) end

-- Kills a process and starts it again; returns as soon as it has written its first line.
function restart_until_first_line(name)
  kill(name)
  local before = #log_of(name)
  start(name)
  local till = now() + 5000
  while #log_of(name) == before and now() < till do end
  expect(#log_of(name) > before, name .. " writes a line")
end

function cut(a, b) cut_one_way(a, b); cut_one_way(b, a) end
function heal(a, b) heal_one_way(a, b); heal_one_way(b, a) end

function dump(name) return ask({ to = name, path = "/debug/dump", key = false }).json end

-- The keeper's address for dumps isn't relayed.
function group_of(keeper, number)
  local state = dump(keeper)
  if not state then return nil end
  for _, group in ipairs(state.groups) do
    if group.group == number then return group end
  end
end

function leader(keepers, number)
  for _, name in ipairs(keepers) do
    if is_running(name) then
      local group = group_of(name, number)
      if group and group.leads and group.may_read then return name end
    end
  end
end

keepers = {}
entries = {}
engines = {}

-- Makes the processes, starts them, applies the lists and waits until the whole path answers.
function fleet(shape)
  for _, name in ipairs(make_processes(shape)) do
    if name:match("^keeper") then keepers[#keepers + 1] = name end
    if name:match("^entry") then entries[#entries + 1] = name end
    if name:match("^engine") then engines[#engines + 1] = name end
    start(name)
  end
  eventually(15000, "the lists are accepted", function()
    return apply({ base = 0, change_id = "first" }).status == 200
  end)
  for _, name in ipairs(entries) do
    eventually(10000, name .. " serves", function()
      return ask(complete({ to = name, prompt = "hello", max_tokens = 1 })).status == 200
    end)
  end
end

function apply(change)
  return operator({ to = change.to, path = "/v1/operator/apply", timeout_ms = 12000,
    json = { base = change.base, change_id = change.change_id,
      plans = change.plans or plans(), allowances = allowances } })
end

-- Submits a job of items {prompt=…} or services {digest=…}; `name` is its idempotency key.
function submit(job)
  local lines = {}
  for i, item in ipairs(job.items) do
    local line = { custom_id = item.id or ("c" .. i), url = item.url or "/v1/completions",
      body = item.body or { model = "model", prompt = item.prompt,
        max_tokens = item.max_tokens or 4 } }
    if item.repeatable ~= nil then line.repeatable = item.repeatable end
    lines[i] = encode(line)
  end
  local headers = {}
  if job.name then headers["Idempotency-Key"] = job.name end
  return ask({ to = job.to, path = "/v1/batches", body = table.concat(lines, "\n") .. "\n",
    headers = headers, timeout_ms = 20000 })
end

function many(count, prefix, max_tokens)
  local items = {}
  for i = 1, count do
    items[i] = { prompt = prefix .. " " .. i, max_tokens = max_tokens }
  end
  return items
end

function job(id, to) return ask({ to = to, path = "/v1/batches/" .. id }).json end

function results(id, to)
  local got = ask({ to = to, path = "/v1/batches/" .. id .. "/results" })
  local list = {}
  for line in got.body:gmatch("[^\n]+") do list[#list + 1] = decode(line) end
  return list, got.body
end

function wait_ended(id, ms, to)
  return eventually(ms, "job " .. id .. " ends", function()
    local state = job(id, to)
    if state and (state.status == "completed" or state.status == "failed" or
        state.status == "cancelled") then return state end
  end)
end

-- What the stand-in itself counted.
function stats(name) return ask({ to = name, path = "/stats", key = false }).json end

function runs_of(names, what, text)
  local count = 0
  for _, name in ipairs(names) do
    if is_running(name) then count = count + (stats(name)[what][text] or 0) end
  end
  return count
end

-- Waits until the keeper votes in every group with the disk that it has now, and no other member is
-- missing. Without the look at its disk the old identity, last heard a second ago, would pass.
function wait_repaired(name, ms)
  eventually(ms, name .. " votes with its new disk", function()
    local state = dump(name)
    if not state then return false end
    for number = 0, 2 do
      local chief = leader(keepers, number)
      local group = chief and group_of(chief, number)
      if not group or #group.members ~= #keepers then return false end
      for _, member in ipairs(group.members) do
        if not member.voter or not member.active then return false end
        if member.node == name and member.disk ~= state.disk then return false end
      end
    end
    return true
  end)
end
