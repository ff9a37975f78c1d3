import { budgetModel } from '../budget/budgetModel.js'
import { configurationModel } from '../configuration/configurationModel.js'
import { movesModel } from '../moves/movesModel.js'
import { ordersModel } from '../orders/ordersModel.js'
import { repliesModel } from '../replies/repliesModel.js'
import { requestsModel } from '../requests/requestsModel.js'
import { targetsModel } from '../targets/targetsModel.js'
import { type Model } from './Model.js'

/** All models. Each has its own type of state. */
export const MODELS: ReadonlyArray<Model<any>> = [requestsModel, repliesModel, configurationModel, ordersModel, targetsModel, movesModel, budgetModel]
