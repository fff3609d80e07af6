-- Guards against entries of another writer that end a keeper or gateway, stop the lists of endpoints, or take
-- endpoints in use out of service.
local odd_ms, odd_until_ms, every_ms, join_ms, run_ms, last_ms = 500, 3000, 200, 3500, 12500, 4000
local in_use, joins = 7, 8
platform_fleet({ endpoints = in_use, zones = 1, event_ms = 5 })

local function bodies(number) return "sound " .. number end
local sources = { { bodies = bodies, every_ms = 8, innocent = true },
  { bodies = bodies, every_ms = 100, path = "/u/x", innocent = true } }
-- Until each endpoint is known by its requests.
play(1000, sources)

local function read_process(name)
  for _, one in ipairs(read_records()) do
    if one.endpoint == name then return one.process end
  end
end

local function entry(changes)
  local fields = { service = '"llm"', addr = '"' .. ip_of(14, 99) .. ':9300"', zone = '"z1"', version = '"v1"',
    slots = "8", state = '"ready"', coldLeftMs = "0", seq = "1", born = "1" }
  for name, value in pairs(changes or {}) do fields[name] = value end
  local parts = {}
  for name, value in pairs(fields) do parts[#parts + 1] = '"' .. name .. '":' .. value end
  return "{" .. table.concat(parts, ",") .. "}"
end

local beat, leave = "Instances.Heartbeat/", "Instances.Leave/"
local long, deep = string.rep("x", 100000), string.rep("[", 64000) .. string.rep("]", 64000)

-- Values of one field that name no endpoint to use.
local strange = { { "slots", "1099511627776" }, { "slots", "4294967295" }, { "slots", "-1" }, { "slots", "1e400" },
  { "born", "9223372036854775808" }, { "born", "18446744073709551616" }, { "seq", "9007199254740993" },
  { "coldLeftMs", "1e308" }, { "coldLeftMs", "1099511627776" }, { "addr", '"' .. ip_of(14, 99) .. ':70000"' },
  { "addr", '"' .. ip_of(14, 99) .. ':0"' }, { "addr", '"[::1]:9300"' }, { "addr", '"0.0.0.0:9300"' },
  { "version", '"' .. long .. '"' }, { "version", '"\xff\xfe"' }, { "version", '"v\\u0000"' },
  { "zone", '"' .. long .. '"' }, { "state", '"resting"' }, { "more", deep } }

-- Entries that are refused: target and body.
local refused = { { beat .. "%ff%fe", entry() }, { beat .. "\xff\xfe", entry() },
  { beat .. string.rep("i", 6000), entry() }, { beat .. "i%0A", entry() },
  { leave .. "%ff%fe", '{"born":1}' }, { leave .. "odd", '{"born":9223372036854775808}' },
  { beat .. "odd", "[]" }, { beat .. "odd", deep }, { beat .. "odd", "\xff" } }
for _, one in ipairs(strange) do
  refused[#refused + 1] = { beat .. "odd", entry({ [one[1]] = one[2] }) }
end
-- The same under the id, the address and the start of an endpoint in use, with a later sequence.
local used = read_process(endpoints[1])
local used_fields = { addr = '"' .. ip_of(14, 1) .. ':9300"', seq = "1000000", born = used:match("-(%d+)$") }
for _, one in ipairs(strange) do
  local fields = {}
  for name, value in pairs(used_fields) do fields[name] = value end
  fields[one[1]] = one[2]
  refused[#refused + 1] = { beat .. used, entry(fields) }
end
refused[#refused + 1] = { leave .. used, '{"born":9223372036854775808}' }
refused[#refused + 1] = { leave .. used, "\xff\xfe" }

-- Entries that are believed: each outranks an endpoint in use, by its id or by its address.
local far_ahead = "9007199254740992"
local function outranks(number, changes)
  local process = read_process(endpoints[number])
  local fields = { addr = '"' .. ip_of(14, number) .. ':9300"', born = process:match("-(%d+)$") }
  for name, value in pairs(changes) do fields[name] = value end
  return { beat .. process, entry(fields) }
end
local nobody = '"' .. ip_of(14, 99) .. ':9300"'
local believed = { outranks(2, { born = far_ahead }), outranks(3, { seq = far_ahead, addr = nobody }),
  outranks(4, { born = far_ahead, state = '"draining"' }),
  { leave .. read_process(endpoints[5]), '{"born":' .. far_ahead .. "}" },
  { beat .. "odd-6", entry({ addr = '"' .. ip_of(14, 6) .. ':9300"', born = far_ahead }) },
  { beat .. "odd-7", entry({ addr = '"' .. ip_of(14, 7) .. ':9300"', born = far_ahead, state = '"draining"' }) } }

local asked = {}
local function send(list)
  for _, one in ipairs(list) do
    for control = 1, 3 do
      asked[#asked + 1] = { entry = one, ask = begin_ask({ to = ip_of(11, control) .. ":9000", method = "POST",
        path = "/cassiarouter/" .. one[1], body = one[2], timeout_ms = 2000,
        headers = { ["Content-Type"] = "application/json" } }) }
    end
  end
end

local function join()
  local name, ip = "endpoint-" .. joins, ip_of(14, joins)
  local control = {}
  for i = 1, 3 do control[i] = ip_of(11, i) .. ":9000" end
  add_process(name, "platform-endpoint", ip, { "--name", name, "--service", "llm", "--address", ip .. ":9300",
    "--zone", "z1", "--record", state_folder() .. "/" .. name .. ".record", "--slots", 8, "--events", 12,
    "--event-ms", 5, "--control", table.unpack(control) })
  endpoints[joins] = name
  start(name)
end

local troubles = {}
for at = odd_ms, odd_until_ms, every_ms do
  table.insert(troubles, { at = at, act = function() send(refused); send(believed) end })
end
table.insert(troubles, { at = join_ms, act = join })

local processes = {}
for _, list in ipairs({ controls, works, fronts, endpoints }) do
  for _, name in ipairs(list) do processes[#processes + 1] = name end
end
local began = play(run_ms, sources, troubles)

local ended = 0
for _, name in ipairs(processes) do
  if not is_running(name) then ended = ended + 1; print(name .. " ended") end
end
local is_believed = {}
for _, one in ipairs(believed) do is_believed[one] = true end
local bad = 0
for _, one in ipairs(asked) do
  if not is_believed[one.entry] and answer(one.ask).status ~= 400 then
    bad = bad + 1
    if bad <= 20 then print("status " .. answer(one.ask).status .. ": " .. one.entry[1]:sub(1, 60)) end
  end
end
local served = 0
for _, call in ipairs(calls) do served = served + (answer(call.ask).status == 200 and 1 or 0) end

-- By endpoint and gateway: requests that ran in the last seconds.
local ran, lacking = {}, 0
for _, one in ipairs(read_records()) do
  local request = sent[one.request]
  if one.event == "run" and request and one.time >= began + run_ms - last_ms then
    local key = one.endpoint .. " " .. request.front
    ran[key] = (ran[key] or 0) + 1
  end
end
for _, name in ipairs(endpoints) do
  for _, front in ipairs(fronts) do
    local count = ran[name .. " " .. front] or 0
    if count == 0 then lacking = lacking + 1; print(name .. " got nothing from " .. front) end
  end
end
print(string.format("ended %d, entries %d, not refused %d, lacking %d of %d, served %d of %d", ended, #asked, bad,
  lacking, #endpoints * #fronts, served, #calls))
expect(ended == 0, "every process runs, but " .. ended .. " ended")
expect(lacking == 0, "each endpoint gets requests from each gateway, but " .. lacking .. " pairs had none")
expect(served >= 0.99 * #calls, "sound calls are served, but " .. served .. " of " .. #calls .. " were")
expect(bad == 0, "odd entries are refused, but " .. bad .. " weren't")
