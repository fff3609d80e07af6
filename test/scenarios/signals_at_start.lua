-- Guards against an entry or a keeper that a signal ends in its first moments, or that SIGHUP ends at any time.
local SIGHUP, SIGTERM, SIGUSR1 = 1, 15, 10
local rounds, settle_ms = 4, 300
fleet({ keepers = 3, entries = 1, engines = 1 })

local ended = 0
local function expect_running(name, signal)
  sleep(settle_ms)
  if is_running(name) then return end
  ended = ended + 1
  print(name .. " ended by signal " .. signal)
  start(name)
end
for _, name in ipairs({ entries[1], keepers[1] }) do
  send_signal(name, SIGHUP)
  expect_running(name, SIGHUP)
  for _ = 1, rounds do
    for _, signal in ipairs({ SIGHUP, SIGUSR1 }) do
      restart_until_first_line(name)
      send_signal(name, signal)
      expect_running(name, signal)
    end
    restart_until_first_line(name)
    send_signal(name, SIGTERM)
    local code = wait_exit(name)
    if code ~= 0 then
      ended = ended + 1
      print(name .. " exits with " .. code .. " after SIGTERM")
    end
  end
  start(name)
  sleep(settle_ms)
end
expect(ended == 0, "each program handles signals from its first line on: " .. ended)
