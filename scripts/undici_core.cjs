// The parts of undici that a daemon uses. The package's index also loads fetch, WebSocket, caches and mocks, which takes 70 of the 160 ms of a start.
const api = require('undici/lib/api')
const buildConnector = require('undici/lib/core/connect')
const Agent = require('undici/lib/dispatcher/agent')
const Client = require('undici/lib/dispatcher/client')
const Dispatcher = require('undici/lib/dispatcher/dispatcher')
const Pool = require('undici/lib/dispatcher/pool')

Object.assign(Dispatcher.prototype, api)

let sharedAgent

function request (url, options = {}) {
  const { origin, pathname, search } = new URL(url)
  const dispatcher = options.dispatcher ?? (sharedAgent ??= new Agent())
  return dispatcher.request({ method: 'GET', ...options, origin, path: pathname + search })
}

module.exports = { Agent, Client, Pool, buildConnector, request }
